"""HTTP front ends."""
