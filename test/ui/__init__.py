"""Tests of acaciaspoke.ui."""
