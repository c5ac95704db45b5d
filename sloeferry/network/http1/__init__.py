"""HTTP/1.1 over one socket, parsed with httptools. Protocol errors are returned as values, not raised."""
