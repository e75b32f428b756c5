"""The operators' door: a second address, one line to a connection. Imported only where one is named."""
