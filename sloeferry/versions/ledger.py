"""The ledger: which version was heard and applied when, what was refused, and what was taken and posted under each.

A txn belongs to the settings under which it was taken, for as long as it is open; a posting to the list on which it was
chosen.  Bounded: of settings, lists and refusals the newest MOST each are kept (some 300 bytes an entry, 60 KB in all),
older ones with open txns until these end; what was dropped is counted.  A stage of the chain (ports.Stage) that decides
nothing.  Times in float ms, monotonic; what is told are ages, since wall clocks may be off.
"""

from sloeferry.versions.order import List, Settings, compare

MOST = 64
HELD = "known"  # the source of a list as last held: nobody has confirmed that it still stands


class Entry:
    """One version, and what was done under it."""

    __slots__ = ("version", "heard", "by", "applied", "first", "last", "acts", "open")

    def __init__(self, version, heard, by):
        self.version, self.heard, self.by = version, heard, by
        self.applied = self.first = self.last = None
        self.acts = self.open = 0  # txns of settings, postings of lists; txns still open

    def act(self, now):
        self.first, self.last, self.acts = self.first or now, now, self.acts + 1


class Ledger:
    def __init__(self, now, program):
        self.program, self.began, self.confirmed = program, now, None
        self.settings, self.lists, self.refused, self.dropped, self.txns = [], [], [], 0, {}

    # What becomes of versions

    def set(self, now, digest, by):
        """Settings were accepted; they act from now on."""
        generation = self.settings[-1].version.generation + 1 if self.settings else 1
        self.enter(self.settings, Settings(generation, digest), now, by)

    def list(self, now, revision, digest, by):
        """A list, or a change of it, has come and acts."""
        if by != HELD:
            self.confirm(now)
        before = self.lists[-1].version if self.lists else List(1, revision, "")
        if before.revision == revision and before.digest == digest:
            return
        back = revision < before.revision or revision == before.revision and before.digest and digest != before.digest
        self.enter(self.lists, List(before.incarnation + bool(back), revision, digest), now, by)

    def confirm(self, now):
        """Whoever tells the list says that it still stands."""
        self.confirmed = now

    def refuse(self, now, what, why):
        self.refused.append((now, what, str(why)[:200]))
        del self.refused[:-MOST]

    def enter(self, entries, version, now, by):
        entry = Entry(version, now, by)
        entry.applied = now
        entries.append(entry)
        spare = [one for one in entries[:-1] if not one.open]
        if len(entries) > MOST and spare:
            entries.remove(spare[0])
            self.dropped += 1

    # ports.Stage: it is told, and decides nothing

    def bars(self, now, scheme, tenant, repeat, waited):
        return None

    def may_repost(self, now, txn):
        return True

    def behind(self):
        return False

    def taken(self, now, txn):
        entry = self.txns[txn.ref] = self.settings[-1]
        entry.act(now)
        entry.open += 1

    def over(self, txn, served):
        if entry := self.txns.pop(txn.ref, None):
            entry.open -= 1

    def posted(self, now):
        if self.lists:
            self.lists[-1].act(now)

    def acts_on(self, ref):
        """What a posting of that txn, chosen now, acts on, in a header's words; short, for it goes with each."""
        settings, listed = self.txns.get(ref, self.settings[-1]).version, self.lists[-1].version if self.lists else None
        return f"settings={settings.generation}:{settings.digest}" + (
            f";list={listed.incarnation}.{listed.revision}:{listed.digest}" if listed else ""
        )

    # What is told

    def now_held(self, now):
        """What it acts on now, since when, by whose word, and how long ago that was last confirmed (ms)."""
        return {
            "program": self.program,
            "up_ms": round(now - self.began),
            "settings": self.told(self.settings[-1], now) if self.settings else None,
            "list": self.told(self.lists[-1], now) if self.lists else None,
            "confirmed_ms": self.confirmed and round(now - self.confirmed),
            "open": len(self.txns),
            "refused": self.refusals(now)[-1:],
        }

    def acted(self, now, since):
        """The ledger of the last `since` ms: versions that came or acted in that time, or have open txns."""

        def recent(entries):
            return [
                self.told(one, now) | {"against_newest": compare(one.version, entries[-1].version)}
                for one in entries
                if one.open or now - max(one.heard, one.last or 0.0) <= since
            ]

        return {
            "settings": recent(self.settings),
            "lists": recent(self.lists),
            "refused": [one for one in self.refusals(now) if one["ago_ms"] <= since],
            "dropped": self.dropped,
        }

    def told(self, entry, now):
        def age(at):
            return None if at is None else round(now - at, 1)

        return entry.version._asdict() | {
            "by": entry.by,
            "heard_ms": age(entry.heard),
            "applied_ms": age(entry.applied),
            "first_ms": age(entry.first),
            "last_ms": age(entry.last),
            "acts": entry.acts,
            "open": entry.open,
        }

    def refusals(self, now):
        return [{"ago_ms": round(now - at, 1), "what": what, "why": why} for at, what, why in self.refused]
