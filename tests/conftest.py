"""What all tests share: the plugins that the suite loads."""

pytest_plugins = ["pytester", "tests.known_red"]
