"""Take calls from callers and nodes to a backend server and back."""
