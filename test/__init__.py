"""Tests of acaciaspoke; the modules mirror those of the package."""
