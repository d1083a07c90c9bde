"""What entry VMs tell each other besides being alive."""
