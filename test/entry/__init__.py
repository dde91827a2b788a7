"""Tests of acaciaspoke.entry."""
