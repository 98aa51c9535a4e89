"""Hold the messages between daisystack's own processes."""
