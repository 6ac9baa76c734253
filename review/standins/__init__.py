"""Stand-ins for the users' platform, which the cases of the review share."""
