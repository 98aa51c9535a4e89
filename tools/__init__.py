"""Hold the harness that starts processes for the demo, the failure tests and the measurements."""
