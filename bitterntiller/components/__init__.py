"""The parts of the daemon, one package each, all with the same rooms."""
