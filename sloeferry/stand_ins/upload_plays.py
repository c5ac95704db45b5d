"""What one upload is like: the pace of its client, how its backend reads it, and how that answers.

The client tells the backend through the request target, which proxies forward unchanged.
"""

import enum
from dataclasses import dataclass
from math import inf
from random import Random
from urllib.parse import parse_qs, urlencode, urlsplit

from sloeferry.stand_ins.pace import FULL_SPEED, Pace

ID_PREFIX = "upload-"  # of the ids of all uploads
PATH = "/upload"
MIN_BODY_BYTES, MAX_BODY_BYTES = 70_000, 1_000_000
LONG_ANSWER_BYTES = 100_000
EVEN_BYTES_PER_SECOND = (64_000, 400_000)  # of clients; the first is the slowest that the platform names
CLIENT_PAUSE_SECONDS = 2.0
BACKEND_BYTES_PER_SECOND = (70_000, 111_000)
BACKEND_HALT_SECONDS = 0.4
ANSWER_PAUSE_SECONDS = 1.0


class AnswerKind(enum.StrEnum):
    """How a backend answers an upload."""

    SHORT = "short"
    LONG = "long"  # with a pause in its body
    LATE_BODY = "late-body"  # a long one whose head comes before its body
    EARLY = "early"  # before the upload is read


@dataclass(frozen=True, slots=True)
class BackendPlay:
    """How a backend reads an upload and answers it."""

    pace: Pace = FULL_SPEED
    answer: AnswerKind = AnswerKind.SHORT

    def target(self) -> str:
        """Return the request target that tells a backend to play this."""
        pace = self.pace
        values = {"rate": pace.bytes_per_second, "stop": pace.pause_after_bytes, "pause": pace.pause_seconds}
        return f"{PATH}?{urlencode({**values, 'answer': self.answer.value})}"

    @staticmethod
    def from_head(data: bytes) -> "BackendPlay | None":
        """Return what a request with that beginning asks for; None if it is no upload."""
        if not data.startswith(b"POST " + PATH.encode()):
            return None
        query = parse_qs(urlsplit(data.split(b" ", 2)[1].decode()).query)
        rate, stop, pause = (float(query[name][0]) for name in ("rate", "stop", "pause"))
        return BackendPlay(Pace(rate, stop, pause), AnswerKind(query["answer"][0]))


@dataclass(frozen=True, slots=True)
class UploadPlay:
    """One upload."""

    body_bytes: int
    is_chunked: bool
    client_pace: Pace
    backend: BackendPlay


def draw_play(rng: Random) -> UploadPlay:
    """Return a random upload; half of them have a client or a backend that is slow, pauses or stops."""
    body_bytes = rng.randint(MIN_BODY_BYTES, MAX_BODY_BYTES)
    client_pace = rng.choice(
        [
            FULL_SPEED,
            FULL_SPEED,
            Pace(rng.choice(EVEN_BYTES_PER_SECOND)),
            Pace(pause_after_bytes=rng.randrange(body_bytes), pause_seconds=CLIENT_PAUSE_SECONDS),
        ]
    )
    backend_pace = rng.choice(
        [
            FULL_SPEED,
            Pace(rng.uniform(*BACKEND_BYTES_PER_SECOND)),
            Pace(pause_after_bytes=rng.randrange(body_bytes), pause_seconds=inf),
            Pace(pause_after_bytes=rng.randrange(body_bytes), pause_seconds=BACKEND_HALT_SECONDS),
        ]
    )
    return UploadPlay(body_bytes, rng.random() < 0.5, client_pace, BackendPlay(backend_pace, rng.choice(list(AnswerKind))))


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """A part of an answer, and the pause before it."""

    pause_seconds: float
    data: bytes


def answer_parts(kind: AnswerKind) -> list[AnswerPart]:
    """Return an answer of that kind."""
    if kind is AnswerKind.SHORT:
        return [AnswerPart(0.0, b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone")]
    if kind is AnswerKind.EARLY:  # a request behind an upload that is not read would come to the backend late
        return [AnswerPart(0.0, b"HTTP/1.1 200 X\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone")]
    head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES
    if kind is AnswerKind.LATE_BODY:
        return [AnswerPart(0.0, head), AnswerPart(ANSWER_PAUSE_SECONDS, bytes(LONG_ANSWER_BYTES))]
    half = bytes(LONG_ANSWER_BYTES // 2)
    return [AnswerPart(0.0, head + half), AnswerPart(ANSWER_PAUSE_SECONDS, half)]
