"""Clients of the platform, settings, events and metrics."""
