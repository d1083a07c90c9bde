"""Settings of one process, read from INI files."""
