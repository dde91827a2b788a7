"""Benchmarks; each prints its results as JSON, one object per line."""
