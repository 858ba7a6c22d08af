"""Translate between the product and the consortium platform."""
