"""The numbered configuration: its types, patches and log."""
