"""Plays many nodes at one discovery that serves calls in turn, and finds which are notified late."""
