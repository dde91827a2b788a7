"""Tests with real processes, one module per invariant."""
