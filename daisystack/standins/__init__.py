"""Stand-ins for the platform's services, used in demos, tests and benchmarks."""
