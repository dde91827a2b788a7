"""The versioned configuration: schema, patches and log."""
