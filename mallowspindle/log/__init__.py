"""Interface of the append-only log, independent of its implementation."""
