"""Garbage collector settings of processes that measure."""

import gc

GC_THRESHOLDS = 50000, 20, 50


def tune_garbage_collection() -> None:
    """Freeze all present objects and raise the collection thresholds.

    A collection that traverses the present objects would take longer than the times that are measured.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
