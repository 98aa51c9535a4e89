"""Stand in for the platform in demos, tests and measurements."""
