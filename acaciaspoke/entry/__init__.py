"""The entry process: accepts callers and calls upstreams."""
