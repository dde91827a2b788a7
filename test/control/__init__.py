"""Tests of acaciaspoke.control."""
