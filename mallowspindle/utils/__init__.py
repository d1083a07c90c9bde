"""General helpers that are independent of the domain."""
