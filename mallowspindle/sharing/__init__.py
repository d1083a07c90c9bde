"""Exchange of the entry VMs' work and lease states."""
