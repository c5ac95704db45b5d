"""Sends calls to admin addresses and to discovery, with limits of time and response size."""

import asyncio
import json
import re
from enum import Enum
from typing import Any, NamedTuple

from sloeferry.config.instance import Address

CALL_TIMEOUT_SECONDS = 2.0  # including the connection
MAX_ANSWER_BYTES = 1 << 20
READ_BYTES = 65536
MAX_SHOWN_BYTES = 40  # of a malformed answer
MAX_SHOWN_STATUS_CHARACTERS = 20
ACCEPTED_STATUSES = (b"200", b"202")
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d{1,9})(?=\r\n)")

JsonObject = dict[str, Any]


class NoAnswerKind(Enum):
    """The reason why the state of a proxy is unknown; the value is the cause that the audit reports."""

    NOT_LISTENING = "nobody listens there"
    UNREACHABLE = "its machine does not answer"
    SILENT = "stopped, or hung"  # the connection was accepted, but the process sends nothing
    MALFORMED = "answers what can't be understood"
    WRONG_PROXY = "another proxy answers there"
    NOT_PERMITTED = "does not tell its versions"
    NOT_ASKED = "not asked"


class NoAnswer(NamedTuple):
    """A call without a usable answer."""

    kind: NoAnswerKind
    evidence: str


async def request_json(address: Address, path: str, method: str = "GET") -> JsonObject | NoAnswer:
    """Send one request; return the JSON object of an answer with status 200 or 202, or the reason why there is none."""
    writer = None
    kind = NoAnswerKind.UNREACHABLE
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_ANSWER_BYTES)
            kind = NoAnswerKind.SILENT
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n\r\n".encode())
            data = await reader.read(1)
            kind = NoAnswerKind.MALFORMED
            while len(data) <= MAX_ANSWER_BYTES and not _is_complete(data) and (more := await reader.read(READ_BYTES)):
                data += more
    except TimeoutError:
        return NoAnswer(kind, f"no complete answer within {CALL_TIMEOUT_SECONDS:g} s")
    except OSError as error:
        return NoAnswer(NoAnswerKind.NOT_LISTENING if writer is None else kind, error.strerror or str(error))
    finally:
        if writer:
            writer.transport.abort()
    return parse_answer(data)


def _is_complete(data: bytes) -> bool:
    """Return whether the answer is complete according to its Content-Length."""
    head, separator, body = data.partition(b"\r\n\r\n")
    length = CONTENT_LENGTH.search(head + b"\r\n")
    return bool(separator and length and len(body) >= int(length[1]))


def parse_answer(data: bytes) -> JsonObject | NoAnswer:
    """Return the JSON object of an answer, if it is complete and has an accepted status."""
    head, separator, body = data.partition(b"\r\n\r\n")
    status_line = head.partition(b"\r\n")[0].split()
    length = CONTENT_LENGTH.search(head + b"\r\n")
    if not separator or len(status_line) < 2 or not status_line[0].startswith(b"HTTP/1."):
        return NoAnswer(NoAnswerKind.MALFORMED, f"no HTTP answer: {data[:MAX_SHOWN_BYTES]!r}")
    if status_line[1] not in ACCEPTED_STATUSES:
        status = status_line[1].decode("latin-1")[:MAX_SHOWN_STATUS_CHARACTERS]
        return NoAnswer(NoAnswerKind.NOT_PERMITTED, f"answered {status}: its operators' file does not have it told")
    if not length or int(length[1]) != len(body):
        return NoAnswer(NoAnswerKind.MALFORMED, f"{len(body)} bytes of a body that was to be another length")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    if isinstance(document, dict):
        return document
    return NoAnswer(NoAnswerKind.MALFORMED, f"no JSON object: {body[:MAX_SHOWN_BYTES]!r}")
