"""The relay: a list on its way from its source to many nodes. Imported by `coraldeal relay` alone."""
