"""Links between nodes."""
