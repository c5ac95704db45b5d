"""The outcome that the policy gets for the end of an attempt."""

from sloeferry.dispatch.attempt_end import AttemptEnd, AttemptProgress, attempt_outcome
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import OUTCOME_NAMES

# The golden file's names of the progress and the ends.
PROGRESS_WORDS = ("NOTHING", "PART", "WHOLE", "BEGUN")
END_WORDS = ("SERVED", "ERRED", "REJECTED", "BROKEN", "LATE", "WITHDRAWN", "VOID", "SPOILT", "NO_MEMORY", "UPLOAD_OVERDUE")


def test_outcome_by_progress(golden: GoldenFiles):
    """Every pair of progress and end maps to the outcome in the golden file."""
    lines: list[str] = []
    for name, progress in zip(PROGRESS_WORDS, AttemptProgress, strict=True):
        outcomes = [attempt_outcome(progress, end) for end in AttemptEnd]
        words = {word: OUTCOME_NAMES[outcome] for word, outcome in zip(END_WORDS, outcomes, strict=True)}
        lines.append(f"{name}: {words}")
    golden.check(lines, "attempt_outcomes")
