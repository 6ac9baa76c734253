"""The process beside each backend server."""
