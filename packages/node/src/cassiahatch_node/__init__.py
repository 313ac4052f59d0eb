"""The node that runs beside each backend server."""
