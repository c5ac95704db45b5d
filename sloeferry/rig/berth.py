"""A daemon whose wall clock is off, through the seam that the daemon has for it: python -m sloeferry.rig.berth."""
import signal

early = []
if __name__ == "__main__":               # as the daemon itself does it
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))

import os
import time

from sloeferry import __main__ as daemon, machine

if __name__ == "__main__":
    off, daemon.early = float(os.environ.pop("SLOEFERRY_RIG_CLOCK")), early
    machine.stand_in(unix=lambda: time.time() + off)
    daemon.main()
