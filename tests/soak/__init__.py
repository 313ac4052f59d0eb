"""Randomized soak test of real node processes under injected faults."""
