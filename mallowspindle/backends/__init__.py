"""Load, health and prefix caches of the backend servers as known here."""
