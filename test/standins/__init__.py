"""Tests of the stand-ins that other tests rely on."""
