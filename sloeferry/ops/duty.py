"""What this process is to its clients and its operators: one answer for all who ask.  Free of I/O.

`/ready`, the operators' calls, SIGTERM and the handover ask here, so that no two of them disagree.  Three facts make
the state: whether a list of backends is at hand, whether operators sent the clients away, whether SIGTERM came; and
how many other processes serve beside this one on the same listening socket.  Times in float ms, monotonic.
"""

STARTING, SERVING, QUIESCING, QUIET, LEAVING, REPLACED = ("starting", "serving", "quiescing", "quiet", "leaving", "replaced")
# After a drain began, in ms: until then new connections may come, and clients go on using what they have; each answer
# tells them to close it, which loses nothing.  From then on the idle are let go, each of which may cross a request.
CROSSING = 1200.0


class Duty:
    def __init__(self):
        self.listed, self.leaving, self.quiesced = False, False, None
        self.companions = 0  # other processes of this proxy that serve
        self.heeds = []  # called at once when any of the first three changes

    def change(self, **facts):
        before = self.listed, self.leaving, self.quiesced
        self.__dict__.update(facts)
        if before != (self.listed, self.leaving, self.quiesced):
            for heed in self.heeds:
                heed()

    def list_came(self):
        self.change(listed=True)

    def leave(self):
        self.change(leaving=True)

    def state(self, connections):
        """One of the six words; `connections`: how many clients' connections are held."""
        if self.leaving:
            return REPLACED if self.companions else LEAVING
        if self.quiesced is not None:
            return QUIESCING if connections else QUIET
        return SERVING if self.listed else STARTING

    def serves(self):
        """Whether this process is ready to serve: what operators are told."""
        return self.listed and not self.sends_away()

    def ready(self):
        """What the front is told.  It sees one proxy where there are two processes: as long as another serves, one
        that leaves says yes, and closes the connection that asked."""
        return self.serves() or self.sends_away() and self.companions > 0

    def sends_away(self):
        """Whether each answer closes its connection, and the idle are let go in time."""
        return self.leaving or self.quiesced is not None

    def accepts(self):
        """Whether new connections are taken in: another process on the same socket has them where there is one."""
        return self.serves() or not self.companions

    def lets_go(self, now):
        """Whether a connection that waits for a request may be ended by now."""
        return self.quiesced is not None and now >= self.quiesced + CROSSING

    # The operators' calls: whether it is so now

    def quiesce(self, now):
        """Again and again is the same; the first one counts."""
        if self.quiesced is None:
            self.change(quiesced=now)
        return True

    def resume(self):
        """Not after SIGTERM: that is no drain, and has no end but one."""
        if self.leaving:
            return False
        self.change(quiesced=None)
        return True
