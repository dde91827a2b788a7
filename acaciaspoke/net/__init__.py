"""Typed messages between processes, and mailboxes."""
