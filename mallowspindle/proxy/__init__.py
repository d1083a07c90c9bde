"""HTTP reverse proxy between callers and backend servers."""
