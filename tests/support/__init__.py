"""What tests of several packages use: golden files, a recording policy host, a proxy between played peers."""
