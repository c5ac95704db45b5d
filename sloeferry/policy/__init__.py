"""All decisions of a proxy, free of I/O.  Its hosts: `dispatch/command_host.py` and `bench_adapter/replies.py`."""
