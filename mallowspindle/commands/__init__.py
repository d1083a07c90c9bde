"""Commands of the operators' tool, one module for each group."""
