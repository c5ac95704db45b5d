"""Starts one proxy process: `python -m sloeferry`."""

import signal

if __name__ == "__main__":
    # Installed before the slow imports, since SIGHUP without a handler terminates the process.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))

    from sloeferry.lifecycle.startup import main

    main(early_reloads)
