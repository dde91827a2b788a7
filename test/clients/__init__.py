"""Tests of the clients of table service, object store, host list."""
