"""HTTP/1.1 on one socket, with httptools.  What goes wrong is a value, never an exception."""
