"""Starts a proxy process: sets up its log, configuration and event loop."""

import asyncio
import gc
import os
import sys
from collections.abc import Collection

import uvloop
from loguru import logger

from sloeferry import environment
from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import read_instance_config, read_log_options
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.lifecycle.proxy_process import serve

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
GC_THRESHOLDS = (20000, 20, 50)  # above Python's defaults: each collection stalls the event loop
CONFIG_ERROR_EXIT_STATUS = 2


def freeze_startup_objects(dispatcher: Dispatcher) -> None:
    """Exempt objects created at startup from garbage collection, since scanning them would stall the event loop."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def main(early_reloads: Collection[object] = ()) -> None:
    """Read the configuration and serve; exit with status 2 and one line on stderr if the configuration is unusable.

    `early_reloads` holds the SIGHUPs received before the reload handler was installed.
    """
    try:
        logger.remove()
        level, is_json = read_log_options(os.environ)
        logger.add(sys.stderr, level=level, diagnose=False, serialize=is_json, format=LOG_FORMAT)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            config = read_instance_config(os.environ)
            runner.run(
                serve(
                    config,
                    on_built=freeze_startup_objects,
                    has_pending_reload=lambda: bool(early_reloads),
                    resident_bytes=environment.resident_bytes(),
                )
            )
    except ConfigError as error:
        print(f"sloeferry: {error}", file=sys.stderr)
        sys.exit(CONFIG_ERROR_EXIT_STATUS)
