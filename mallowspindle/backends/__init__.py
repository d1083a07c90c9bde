"""What this node knows of the backend servers' work and health."""
