"""Errors in a configuration."""


class ConfigError(Exception):
    """Raised when a configuration is unusable; its text is one line, `key: reason`.

    `key` is the faulty setting, variable, option or file, as operators spell it.
    """

    def __init__(self, key: str, reason: str):
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason
