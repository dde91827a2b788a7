"""Tests of the stand-ins that other tests depend on."""
