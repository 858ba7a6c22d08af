"""Simulate the systems around limpetshore for demo, tests and benches."""
