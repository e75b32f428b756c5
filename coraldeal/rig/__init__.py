"""The rig: a test bench that runs nodes between stand-in clients and servers and injects faults.

It provides stand-ins for callers, servers, tiers, zones and the list of servers, and runs experiments. The
product never imports it. The rig uses the product as an operator does: as a process with sockets. It listens
and sends on loopback only, limits its number of processes and its running time, and ends what it started.
"""
