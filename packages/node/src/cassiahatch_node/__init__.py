"""Overload control node, deployed alongside each backend server."""
