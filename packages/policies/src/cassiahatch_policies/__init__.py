"""Decision plug-ins: plain calls on slotted objects that are given the time."""
