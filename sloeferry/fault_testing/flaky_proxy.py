"""A proxy with a wrong clock, failing system calls or small buffers: python -m sloeferry.fault_testing.flaky_proxy.

SLOEFERRY_RIG_CLOCK sets the offset of its wall clock in seconds.  A non-empty SLOEFERRY_RIG_CALLS makes its system calls
fail intermittently.  SLOEFERRY_RIG_BUFFERS sets the sizes of its sockets' buffers in bytes.
"""

import os
import signal
import time

if __name__ == "__main__":
    early_reloads: list[int] = []  # as in sloeferry/__main__.py
    signal.signal(signal.SIGHUP, lambda signal_number, _: early_reloads.append(signal_number))

    from sloeferry import environment
    from sloeferry.fault_testing import flaky_sockets
    from sloeferry.lifecycle.startup import main
    from sloeferry.stand_ins.small_buffers import with_small_buffers

    clock_offset = float(os.environ.pop("SLOEFERRY_RIG_CLOCK", "0"))
    if clock_offset:
        environment.replace(unix_time=lambda: time.time() + clock_offset)
    if os.environ.pop("SLOEFERRY_RIG_CALLS", ""):
        environment.replace(tcp_socket=flaky_sockets.tcp_socket)
    buffer_bytes = int(os.environ.pop("SLOEFERRY_RIG_BUFFERS", "0"))
    if buffer_bytes:
        environment.replace(tcp_socket=with_small_buffers(environment.tcp_socket, buffer_bytes))
    main(early_reloads)
