"""What goes wrong, or is changed, in a run: a module for each kind."""
