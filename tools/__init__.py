"""Process harness for the demo, the failure tests and the benchmarks."""
