"""Integrate nodes with the consortium platform's protocols and store."""
