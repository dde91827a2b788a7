"""Utilities that are independent of the application."""
