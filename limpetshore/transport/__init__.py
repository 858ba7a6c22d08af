"""Implement HTTP clients and servers."""
