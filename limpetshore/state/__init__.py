"""Hold what a node knows, and how it changes."""
