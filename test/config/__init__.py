"""Tests of acaciaspoke.config."""
