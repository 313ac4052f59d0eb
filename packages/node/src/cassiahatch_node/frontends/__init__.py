"""HTTP front ends for callers, the local backend server, peers and operators."""
