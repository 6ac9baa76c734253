"""Stand-ins, load generator and experiments (not shipped)."""
