"""Evidence of parts of prompts that crash servers, shared by all nodes."""
