"""Tests of acaciaspoke.net."""
