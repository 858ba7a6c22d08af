"""Decide who is served, where, and when, without input or output."""
