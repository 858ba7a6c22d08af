"""Say what nodes, callers and backend servers tell each other."""
