"""The two programs: the daemon and the command-line tool."""
