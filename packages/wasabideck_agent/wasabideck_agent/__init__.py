"""The agent: the process beside each backend server."""
