"""Other ways to choose, to measure the design against; in the kit alone.

Each takes the place of `Board.choose` of a proxy in a rehearsal: who may be picked, the rules and all that is done
about failures stay as they are.
"""

POLICIES = ("design", "random", "round-robin", "least-own", "best-of-two")


def install(facade, policy):
    """Has this proxy choose so; the design needs nothing."""
    if policy != "design":
        board = facade.proxy.board
        board.choose = Other(board, policy).choose


class Other:
    def __init__(self, board, policy):
        self.board, self.p, self.turn = board, board.p, 0
        self.pick = getattr(self, policy.replace("-", "_"))

    def choose(self, txn, now, leave_out=()):
        """As Board.choose: the backend, the odds of its answer in time, and how long is expected."""
        board, rules, work = self.board, self.p.rules, txn.scheme.typical()
        board.usable(now)
        fit = [
            b
            for b in board.open
            if b.ident not in board.sick
            and rules.list_usable(now)
            and b not in leave_out
            and rules.drops_repeats(txn, b)
            and rules.cold_room(b, now, work)
        ]
        if not fit:
            return None, 0.0, 0.0
        b = self.pick(fit, now)
        takes = work * board.pace(b, now) * board.stretch[0]
        return b, max(0.2, board.spread.under((txn.due - now) / takes)), takes

    def random(self, fit, now):
        return self.p.rng.choice(fit)

    def round_robin(self, fit, now):
        self.turn += 1
        return fit[self.turn % len(fit)]

    def least_own(self, fit, now):
        least = min(b.own for b in fit)
        return self.p.rng.choice([b for b in fit if b.own == least])

    def best_of_two(self, fit, now):
        two = self.p.rng.sample(fit, min(2, len(fit)))
        return min(two, key=lambda b: self.board.figure(b, now))
