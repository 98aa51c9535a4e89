"""Messages between daisystack processes, and their conversion."""
