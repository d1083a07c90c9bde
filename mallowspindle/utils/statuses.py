"""Statuses of HTTP responses."""

# Any three digits can stand in a status line. Responses with others than these
# are interim ones (RFC 9110), or no responses at all.
FINAL_STATUSES = range(200, 600)
