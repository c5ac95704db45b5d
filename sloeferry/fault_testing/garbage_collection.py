"""What processes that measure have in common."""

import gc

GC_THRESHOLDS = 50000, 20, 50


def tune_garbage_collection() -> None:
    """All that is there now is kept: a collection that looked at it would take longer than what is measured."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
