"""The rig: stand-ins for callers, servers, tiers, zones and the list, troubles on a timeline, experiments.

The product never imports it. It uses the product as a user would, as a process on sockets. It listens and
sends on loopback only, is bounded in count and time, and ends what it started.
"""
