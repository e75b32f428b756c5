"""The network side of a node: sockets, clocks and signals. The decisions are made in coraldeal.balance."""
