"""Demo, load driver and measurements on loopback."""
