"""The relay: follows a source's list of servers and serves it to many nodes.

Only `coraldeal relay` imports the package; a node with several sources imports `route.py` for their order.
"""
