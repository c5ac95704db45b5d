"""The one hierarchy of the tools' errors: every command line ends on them in one way, with one line and exit status 2."""


class UsageError(Exception):
    """The base: what was asked for cannot be used.  The text is one line and names the key, option or place."""
