"""Commands of the operators' tool, one module each."""
