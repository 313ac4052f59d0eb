"""Control plane of a node: gossip, registration, plan lists, quota and tenures."""
