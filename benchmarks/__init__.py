"""Measure policies and processes; each script prints the table that the docs quote."""
