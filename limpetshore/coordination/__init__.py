"""Agree with other nodes, and with the store."""
