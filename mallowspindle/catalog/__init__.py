"""What operators configured, and which backend servers there are."""
