"""The base class of errors that end a command line tool with one line on standard error and exit status 2."""


class UsageError(Exception):
    """Raised when an argument or a file can't be used; the text is one line and names the key, option or position."""
