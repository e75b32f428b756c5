"""Connections to servers: how long one that rests may be used again. Imported only where it is asked for."""
