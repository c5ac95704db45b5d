"""The host for the simulator's bench: its frames in, policy calls; policy commands back, its frames out."""
