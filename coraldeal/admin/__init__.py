"""The admin listener: a second address, where each connection carries one line and one answer.

Imported only where the configuration names its address.
"""
