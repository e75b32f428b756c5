"""The real node: sockets, clocks and signals round the decisions of coraldeal.balance.

Nothing here decides.
"""
