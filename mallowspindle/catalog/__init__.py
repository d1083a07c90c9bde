"""The configuration in force and the registered backend servers."""
