"""Speak HTTP, as a client and as a server."""
