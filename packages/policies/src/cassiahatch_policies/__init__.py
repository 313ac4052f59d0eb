"""Decision plug-ins of the nodes.

They do no I/O and read no clock: callers pass the current time.
"""
