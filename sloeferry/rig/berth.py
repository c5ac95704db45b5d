"""A daemon whose wall clock is off, through the seam that the daemon has for it: python -m sloeferry.rig.berth."""
import os
import time

from sloeferry import __main__ as daemon, machine

if __name__ == "__main__":
    off = float(os.environ.pop("SLOEFERRY_RIG_CLOCK"))
    machine.stand_in(unix=lambda: time.time() + off)
    daemon.main()
