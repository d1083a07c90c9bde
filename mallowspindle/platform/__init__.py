"""Translation between the users' platform and the project's own types."""
