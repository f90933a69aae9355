"""The small core that wires the parts of a process together."""
