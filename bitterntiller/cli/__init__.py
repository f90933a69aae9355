"""Entry points: the daemon bitterntillerd and the command-line tool bitterntiller."""
