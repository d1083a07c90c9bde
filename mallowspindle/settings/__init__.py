"""The venture's settings tree, built from records in the log."""
