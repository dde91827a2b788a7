"""Tests with real processes, one module for each invariant."""
