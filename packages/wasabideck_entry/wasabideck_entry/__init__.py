"""The entry process and the operators' commands."""
