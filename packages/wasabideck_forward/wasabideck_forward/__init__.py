"""Forwards callers' requests to backend servers, directly and unchanged."""
