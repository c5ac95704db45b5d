"""The policy host for the simulator's bench: turns the bench's frames into policy calls, and policy commands into frames."""
