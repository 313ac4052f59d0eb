"""Sidecar data path, with a node at the caller and at the callee of each call."""
