"""A serving system for many models on fewer accelerators."""

__version__ = "0.1.0"
