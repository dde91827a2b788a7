"""Tests of acaciaspoke.util."""
