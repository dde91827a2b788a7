"""Reports for operators."""
