"""The start of a proxy's process: its log, its configuration, its event loop."""

import asyncio
import gc
import os
import sys
from collections.abc import Collection

import uvloop
from loguru import logger

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import read_instance_config, read_log_options
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.lifecycle.proxy_process import serve

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
GC_THRESHOLDS = (20000, 20, 50)
UNUSABLE_CONFIG_STATUS = 2


def freeze_startup_objects(dispatcher: Dispatcher) -> None:
    """What the start made stays; looking through it again takes a stall's time."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def main(early_reloads: Collection[object] = ()) -> None:
    """Reads the configuration and serves; exit 2 with one line where it cannot be used.

    `early_reloads` holds the SIGHUPs that came before anybody could act on them.
    """
    try:
        logger.remove()
        level, is_json = read_log_options(os.environ)
        logger.add(sys.stderr, level=level, diagnose=False, serialize=is_json, format=LOG_FORMAT)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            config = read_instance_config(os.environ)
            runner.run(serve(config, on_built=freeze_startup_objects, has_pending_reload=lambda: bool(early_reloads)))
    except ConfigError as error:
        print(f"sloeferry: {error}", file=sys.stderr)
        sys.exit(UNUSABLE_CONFIG_STATUS)
