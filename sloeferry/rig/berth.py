"""A daemon whose machine is not as it should be, through the seam that it has for it: python -m sloeferry.rig.berth.

SLOEFERRY_RIG_CLOCK: seconds by which its wall clock is off.  SLOEFERRY_RIG_CALLS: its system calls fail at times.
"""

import signal

early = []
if __name__ == "__main__":  # as the daemon itself does it
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))

import os
import time

from sloeferry import __main__ as daemon
from sloeferry import machine
from sloeferry.rig import flaky_calls

if __name__ == "__main__":
    daemon.early = early
    off = float(os.environ.pop("SLOEFERRY_RIG_CLOCK", "0"))
    if off:
        machine.stand_in(unix=lambda: time.time() + off)
    if os.environ.pop("SLOEFERRY_RIG_CALLS", ""):
        machine.stand_in(tcp=flaky_calls.tcp)
    daemon.main()
