"""Which software version began a stream, known at several nodes."""
