"""Builds of the daemon with one wrong line each: what the rig has to convict.

A planted build is this tree's own `sloeferry`, copied, with one text put in the place of another that stands there
exactly once; where it does not, that is said, for then the table here is behind the code.
"""
import pathlib
import shutil
from typing import NamedTuple

from sloeferry.rehearsal.scenario import Fault

PACKAGE = pathlib.Path(__file__).resolve().parents[1]


class Wrong(NamedTuple):
    plan: str                            # the plan that convicts it
    rules: str                           # which rules may be named for it
    about: str
    path: str
    right: str
    wrong: str


PLANTED = {}


def plant(name, folder):
    """The folder of a tree that has that fault."""
    if name not in PLANTED:
        raise Fault(f"--plant: {name!r} is none of {', '.join(PLANTED)}")
    one, tree = PLANTED[name], pathlib.Path(folder, "planted")
    shutil.copytree(PACKAGE, tree / "sloeferry", ignore=shutil.ignore_patterns("__pycache__", "rig", "rehearsal", "load"))
    path = tree / "sloeferry" / one.path
    text = path.read_text()
    if text.count(one.right) != 1:
        raise Fault(f"--plant: {name}: its line stands {text.count(one.right)} times in {one.path}")
    path.write_text(text.replace(one.right, one.wrong))
    return str(tree)
