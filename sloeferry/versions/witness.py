"""Joins the ledger to a proxy: it hears of settings and lists, is told of txns and postings, and answers operators."""

import pathlib
from urllib.parse import parse_qs

from sloeferry.core.facade import clock
from sloeferry.versions.ledger import HELD, Ledger
from sloeferry.versions.order import digest, of_files

EVER = 1e15  # ms
OWN = ("ordinal", "zone")  # settings that differ from proxy to proxy: no two would have one version


def program():
    """The digest of this build: all of the package's files."""
    root = pathlib.Path(__file__).resolve().parents[1]
    return of_files((str(path.relative_to(root)), path.read_bytes()) for path in root.rglob("*.py"))


def shared(terms):
    """Settings as all proxies have them, whatever each did before: without what is a proxy's own; schemes and
    customers by name, since places depend on what stood there earlier, and without those that were dropped."""
    plain, lines = {}, {}
    for key, said in terms.items():
        what, _, rest = key.partition(".")
        at, _, name = rest.partition(".")
        if what in ("schemes", "tenants"):
            lines.setdefault((what, at), {})[name] = said
        elif key not in OWN:
            plain[key] = said
    return plain | {
        f"{what}/{line['name']}": {name: said for name, said in line.items() if name != "dropped"}
        for (what, _), line in lines.items()
        if "name" in line and not line.get("dropped")
    }


class Witness:
    """`berth` is what the process started with."""

    def __init__(self, facade, berth, desk, carry=False):
        self.name, self.ledger = berth.name, Ledger(clock(), program())
        self.settled(berth, "start")
        facade.proxy.stages.all.append(self.ledger)
        post = facade.post

        def posted(ref, *order):
            self.ledger.posted(clock())
            if carry and (errand := facade.errands.get(ref)):
                errand.acted = errand.acted or {}
                errand.acted[errand.sent] = b"X-Acted-On: %b\r\n" % self.ledger.acts_on(ref).encode()
            post(ref, *order)

        facade.post = posted  # this instance's alone: where nobody asks for it, no txn passes here
        desk.calls[b"/admin/versions"] = b"GET", self.versions
        desk.calls[b"/admin/acted"] = b"GET", self.acted

    def brings_up(self, desk, discovery, renewal):
        """Operators may have it ask for the list, and read its file, again."""
        self.discovery, self.renewal = discovery, renewal
        desk.calls[b"/admin/relist"] = b"POST", self.relist
        desk.calls[b"/admin/reread"] = b"POST", self.reread

    # What the process hears

    def settled(self, berth, by):
        self.ledger.set(clock(), digest(shared(berth.terms)), by)

    def refused(self, what, why):
        self.ledger.refuse(clock(), what, why)

    def listed(self, revision, known, source=None):
        """A list acts from now on; `source` is who told it, None for one as last held."""
        self.ledger.list(clock(), revision, digest(sorted(known.values())), source or HELD)

    def confirmed(self):
        self.ledger.confirm(clock())

    # What operators are told

    def versions(self, query):
        return 200, {"name": self.name, **self.ledger.now_held(clock())}

    def relist(self, query):
        self.discovery.again()
        return 202, {"name": self.name}  # the list comes when discovery's turn for it does

    def reread(self, query):
        before = self.ledger.settings[-1]
        self.renewal()
        yes = self.ledger.settings[-1] is not before
        return 200 if yes else 409, {"name": self.name, **self.ledger.now_held(clock())}

    def acted(self, query):
        """`since`: seconds back; all without it."""
        said = parse_qs(query.decode("latin-1")).get("since", ["inf"])[-1]
        try:
            since = float(said)
        except ValueError:
            since = -1.0
        if not since >= 0:
            return 400, {"error": f"since: {said!r} is not a number of seconds from 0 up"}
        return 200, {"name": self.name, **self.ledger.acted(clock(), min(since * 1000, EVER))}
