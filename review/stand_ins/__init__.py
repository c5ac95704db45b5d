"""Stand-ins for the platform, discovery, backends and clients, shared by the cases of the review."""
