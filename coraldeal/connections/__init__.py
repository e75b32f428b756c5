"""How long an idle connection to a server may be reused. Imported only where an operator turns it on."""
