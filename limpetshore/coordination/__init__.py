"""Coordinate state and rate limits with other nodes and with the store."""
