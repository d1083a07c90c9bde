"""The venture's settings tree, folded from the log."""
