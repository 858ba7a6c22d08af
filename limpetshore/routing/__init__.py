"""Route calls from callers and peer nodes to a backend server."""
