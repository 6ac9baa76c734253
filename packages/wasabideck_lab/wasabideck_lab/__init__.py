"""Stand-ins, load generator and experiments; not part of the shipped product."""
