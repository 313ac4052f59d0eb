"""Types, registry, ports and errors shared by every cassiahatch package."""
