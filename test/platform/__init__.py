"""Tests of acaciaspoke.platform."""
