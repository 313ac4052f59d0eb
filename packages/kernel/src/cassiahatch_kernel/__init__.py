"""Types, plug-in registry, ports and errors shared by every cassiahatch package."""
