"""What every subsystem's command line ends on in one way: one line, exit 2."""


class UsageError(Exception):
    """What was asked for can't be used; the text names the key, option or place."""
