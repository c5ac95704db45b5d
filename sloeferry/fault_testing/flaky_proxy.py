"""A proxy whose clock or system calls misbehave: python -m sloeferry.fault_testing.flaky_proxy.

SLOEFERRY_RIG_CLOCK: seconds by which its wall clock is off.  SLOEFERRY_RIG_CALLS: its system calls fail at times.
"""

import os
import signal
import time

if __name__ == "__main__":
    early_reloads: list[int] = []  # as sloeferry/__main__.py does it
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))

    from sloeferry import environment
    from sloeferry.fault_testing import flaky_sockets
    from sloeferry.lifecycle.startup import main

    clock_offset = float(os.environ.pop("SLOEFERRY_RIG_CLOCK", "0"))
    if clock_offset:
        environment.replace(unix_time=lambda: time.time() + clock_offset)
    if os.environ.pop("SLOEFERRY_RIG_CALLS", ""):
        environment.replace(tcp_socket=flaky_sockets.tcp_socket)
    main(early_reloads)
