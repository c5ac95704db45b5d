"""What is wrong with a configuration."""


class ConfigError(Exception):
    """A configuration that cannot be used.  It prints as one line, `key: reason`.

    `key` is the setting, variable, option or file that is wrong, spelt as the operators spell it.
    """

    def __init__(self, key: str, reason: str):
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason
