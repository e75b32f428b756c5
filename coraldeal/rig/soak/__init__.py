"""Experiments drawn from a seed: the rig's troubles, system calls that fail and a stepped clock at once."""
