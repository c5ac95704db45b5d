"""What stand-ins ask and tell whoever keeps the record of a play.  Here: nothing is known, nothing is kept."""


class Ledger:
    """`ident` is the id of a request, as bytes; times in seconds of the stand-in's own loop."""

    # What nodes ask of a request

    def scheme(self, ident):
        """Its scheme (kind, group, window_ms, work_ms, answer, body); None for an id that nobody asked."""

    def work(self, ident):
        """What it costs an idle node of one core, in ms."""
        return 0.0

    def bad(self, ident):
        """Whether it errs at any node."""
        return False

    def proxy(self, ident):
        """The proxy that has it, where that is known."""
        return ""

    def over(self, ident, now):
        """Whether its time is over."""
        return False

    def answer_size(self, ident):
        return self.scheme(ident).answer

    # What nodes tell

    def got(self, node, ident, body, now):
        pass

    def posted(self, node, zone, ident, since):
        pass

    def acted(self, node, ident, said, now):
        pass  # the posting's own word of what it acts on

    def ran(self, node, ident, now):
        pass

    def worked(self, ms):
        pass

    def probed(self, node, work):
        pass

    def choked(self, node):
        pass

    def fell(self, node, now, warmth, sent):
        pass  # sent: (when, work in ms, id), of the span that counts

    def breach(self, rule, now, text):
        pass

    # What discovery tells

    def told(self, proxy, node, phase, now, launched=0):
        pass

    def listed(self, proxy, revision, now):
        pass

    def published(self, node, phase, now):
        pass
