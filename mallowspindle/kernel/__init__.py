"""The micro-kernel: named services and their life cycle."""
