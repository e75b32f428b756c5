"""Two processes of one node, for the time of an upgrade. Not imported without an operators' door."""
