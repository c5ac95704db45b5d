"""The one place where other subsystems' decisions join the chain: free of I/O, asked in the order installed.

With none installed every answer is the chain's own, at the cost of a call.
"""


class Stages:
    """All that are installed, as one (ports.Stage)."""

    def __init__(self):
        self.all = []

    def bars(self, now, scheme, tenant, repeat, waited):
        for stage in self.all:
            if (pause := stage.bars(now, scheme, tenant, repeat, waited)) is not None:
                return pause
        return None

    def may_repost(self, now, txn):
        return all(stage.may_repost(now, txn) for stage in self.all)

    def behind(self):
        return any(stage.behind() for stage in self.all)

    def taken(self, now, txn):
        for stage in self.all:
            stage.taken(now, txn)

    def over(self, txn, served):
        for stage in self.all:
            stage.over(txn, served)
