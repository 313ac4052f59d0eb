"""Client of the local backend server, its announcement and its running calls."""
