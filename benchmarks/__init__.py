"""Benchmarks of policies and processes; each module prints a table that the docs quote."""
