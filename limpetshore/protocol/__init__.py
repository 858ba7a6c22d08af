"""Define the messages between nodes, callers and backend servers."""
