"""Versions and their order: total where there is one, and nothing where there is none.

A list's revision is a counter of discovery's.  Counters start anew, and of two replicas one may lag: a revision lower
than the one before is either, and from here nobody can tell which.  So each time it goes back a new incarnation is
counted, and versions of two incarnations are not compared (cf. the epochs of replicated logs, which name the one who
counts; this protocol names nobody).  Settings are counted by what was accepted: a roll-back is a new generation with an
older digest.
"""

import hashlib
import json
from typing import NamedTuple

OLDER, SAME, NEWER, UNLIKE = "older", "same", "newer", "not comparable"


class Settings(NamedTuple):
    generation: int  # of what this process accepted, from 1
    digest: str


class List(NamedTuple):
    incarnation: int  # how often the count went back, from 1
    revision: int
    digest: str  # of what it says; addresses aside, which may differ from proxy to proxy


def compare(one, other):
    """How `one` stands to `other`, both of one proxy's ledger."""
    if one == other:
        return SAME
    if isinstance(one, List):
        if one.incarnation != other.incarnation or one.revision == other.revision:
            return UNLIKE  # one revision that says two things comes of two counts
        return NEWER if one.revision > other.revision else OLDER
    return NEWER if one.generation > other.generation else OLDER


def digest(said):
    """Of anything that JSON can say, in 16 digits; the order of keys is none of its business."""
    return hashlib.sha256(json.dumps(said, sort_keys=True, default=str).encode()).hexdigest()[:16]


def of_files(texts):
    """Of a program: (name, bytes) of all of its files."""
    whole = hashlib.sha256()
    for name, text in sorted(texts):
        whole.update(b"%b\0%d\0%b" % (name.encode(), len(text), text))
    return whole.hexdigest()[:16]
