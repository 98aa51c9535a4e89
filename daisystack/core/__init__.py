"""Decide; knows no socket, clock or thread."""
