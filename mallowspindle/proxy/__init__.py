"""The path between callers and backend servers."""
