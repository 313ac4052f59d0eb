"""Stand-ins for the platform, backend servers and callers; demo and benchmarks."""
