"""Tests of acaciaspoke.report."""
