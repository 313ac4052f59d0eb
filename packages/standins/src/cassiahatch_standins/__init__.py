"""Stand-ins for the platform, backend servers and callers, with the demo and benchmarks."""
