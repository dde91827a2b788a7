"""The control process: configuration, membership, placement, orders."""
