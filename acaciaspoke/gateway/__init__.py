"""The gateway: serves callers on a platform with a shared metadata store."""
