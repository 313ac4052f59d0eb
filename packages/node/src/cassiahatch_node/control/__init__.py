"""Tasks that keep what nodes agree on."""
