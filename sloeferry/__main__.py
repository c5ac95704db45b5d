"""Starts one proxy: python -m sloeferry."""

import signal

if __name__ == "__main__":
    # First of all: until there is a handler, SIGHUP ends the process.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))

    from sloeferry.lifecycle.startup import main

    main(early_reloads)
