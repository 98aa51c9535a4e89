"""Daemons and the tasks that own their sockets and state."""
