"""Platform clients, settings, events and metrics of all processes."""
