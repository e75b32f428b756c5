"""The relay: follows a source's list of servers and serves it to many nodes.

Only `coraldeal relay` imports this package, apart from the order of sources in `route.py`.
"""
