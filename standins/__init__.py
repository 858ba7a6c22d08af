"""Stand in for what surrounds limpetshore, in demo, tests and benches."""
