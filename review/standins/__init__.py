"""Stand-ins of the platform, its minions and its clients, for the review's scripts."""
