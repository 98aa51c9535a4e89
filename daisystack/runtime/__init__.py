"""Run the daemons: tasks that own sockets and state."""
