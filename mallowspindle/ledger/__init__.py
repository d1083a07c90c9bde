"""Cost metering and its split between partners."""
