"""Stand-ins for the external systems that mallowspindle talks to."""
