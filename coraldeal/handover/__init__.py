"""The handover from one process of a node to its successor during an upgrade.

Imported only where the configuration names an admin listener.
"""
