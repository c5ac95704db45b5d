"""Validates the heads of client requests against the settings and accepts requests for dispatch."""

import contextlib
import re
from collections.abc import Mapping

from sloeferry import environment
from sloeferry.config.settings import Idempotency, Settings
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.dispatch.request_context import RequestContext
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network import protocol
from sloeferry.network.http1.message import Message, RequestAttributes
from sloeferry.network.request_ids import RequestIds

METHODS = (b"GET", b"POST", b"PUT", b"PATCH", b"DELETE")
MAX_NUMBER_DIGITS = 9
MIN_TIME_LEFT_MS = 1.0
# A complete request in a plain form that may be rejected unparsed; any other input is parsed first.
PLAIN_REQUEST = re.compile(rb"(?:GET|POST) /[!-~]* HTTP/1\.1\r\n(?:[!#-'*+.0-9A-Z^-z|~-]+:[\t -~]*\r\n)+\r\n")
PLAIN_HEADERS = (
    protocol.REQUEST_ID,
    protocol.REQUEST_CLASS,
    protocol.TENANT,
    protocol.IS_RETRY,
    protocol.TIME_LEFT_MS,
    b"content-length",
)
PARSER_ONLY_HEADERS = (b"transfer-encoding", b"expect", b"connection")  # a request with one of these is always parsed
_RELEVANT_HEADER = re.compile(
    rb"(?i)\r\n(" + b"|".join((*PLAIN_HEADERS, *PARSER_ONLY_HEADERS)) + rb"):[ \t]*([^\r]*?)[ \t]*(?=\r\n)"
)
_AFFINITY_KEY = re.compile(rb"(?:^|,)[ \t]*entity=([!-+.-~]{1,64})[ \t]*(?=,|$)")


def encoded_names(indexes: Mapping[str, int]) -> dict[bytes, int]:
    """Return the indexes by name as encoded in a header: in UTF-8 or, as in older versions of HTTP, in Latin-1.

    A name that Latin-1 cannot encode has its UTF-8 form only: with a replacement character, two names could become the same.
    """
    by_latin1_name = {}
    for name, index in indexes.items():
        with contextlib.suppress(UnicodeEncodeError):
            by_latin1_name[name.encode("latin-1")] = index
    return by_latin1_name | {name.encode("utf-8", "replace"): index for name, index in indexes.items()}


class RequestIntake:
    """Validates request heads, rejects requests during load shedding and accepts the others."""

    def __init__(self, dispatcher: Dispatcher, lifecycle: Lifecycle, settings: Settings, request_ids: RequestIds):
        self._dispatcher = dispatcher
        self._request_ids = request_ids
        self._lifecycle = lifecycle
        # The request being parsed was admitted unparsed and is not checked again. Set and used within one receive, without an
        # await in between.
        self._was_admitted_unparsed = False
        self.answer_by_ms = float("inf")  # time by which each accepted request has to be answered
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Apply the settings, at startup and on each reload."""
        self._classes = encoded_names(settings.class_indexes())
        self._tenants = encoded_names(settings.tenant_indexes())
        classes = settings.request_classes
        self._keyed_classes = {
            index for index in self._classes.values() if classes[index].idempotency is Idempotency.DEDUPLICATED
        }
        self._has_affinity_keys = settings.has_affinity_keys
        self._deadline_ms = {index: classes[index].deadline_ms for index in self._classes.values()}
        self._sends_retry_after = settings.limits.sends_retry_after

    def shortest_deadline_ms(self) -> float:
        """Return the shortest deadline of all request classes."""
        return min(self._deadline_ms.values())

    def longest_deadline_ms(self) -> float:
        """Return the longest deadline of all request classes."""
        return max(self._deadline_ms.values())

    def retry_after_ms(self, delay_ms: float) -> float:
        """Return a Retry-After with which a request is rejected; 0.0 where the settings have none."""
        return delay_ms if self._sends_retry_after else 0.0

    def recheck(self, message: Message) -> None:
        """Validate a head again that was read under previous settings and is not accepted yet.

        Its class may have been removed, or may now require an idempotency key that the client had no reason to send. It is
        rejected without having been sent, so the client may retry it (safety rule 2).
        """
        if message.attributes and not self.accepts_head(message):
            message.retry_after_if_rejected_ms = self.retry_after_ms(message.attributes.time_left_ms)

    # Heads

    def accepts_head(self, message: Message) -> bool:
        """Return whether a head is that of a valid request or of one to /ready.

        Sets the message's `attributes` and, during load shedding, its `retry_after_if_rejected_ms`.
        """
        was_admitted, self._was_admitted_unparsed = self._was_admitted_unparsed, False
        if message.method not in METHODS:
            return False
        if message.method == b"GET" and message.url.partition(b"?")[0] == protocol.READY_PATH:
            return True
        attributes = self._attributes(message)
        if attributes is None or not message.header(protocol.REQUEST_ID) or not message.header(b"host"):
            return False
        if attributes.class_index in self._keyed_classes and not message.header(protocol.IDEMPOTENCY_KEY):
            return False
        message.attributes = attributes
        if not was_admitted and self._dispatcher.overload.is_shedding() and not self._lifecycle.is_stopping:
            message.retry_after_if_rejected_ms = self.retry_after_if_rejected_ms(message)
        return True

    def _attributes(self, message: Message) -> RequestAttributes | None:
        """Return the class, tenant and time left that a head names; None if one is missing or invalid."""
        class_index = self._classes.get(message.header(protocol.REQUEST_CLASS))
        tenant_index = self._tenant_index(message.header(protocol.TENANT))
        time_left = message.header(protocol.TIME_LEFT_MS) or b""
        if class_index is None or tenant_index is None:
            return None
        if not (time_left.isdigit() and len(time_left) <= MAX_NUMBER_DIGITS and int(time_left)):
            return None
        return RequestAttributes(class_index, tenant_index, min(float(time_left), self._deadline_ms[class_index]))

    def _tenant_index(self, name: bytes | None) -> int | None:
        """Return the index of the tenant of that name; 0 for any name where the settings list no tenants."""
        return self._tenants.get(name) if self._tenants else 0

    # Rejections

    def retry_after_if_rejected_ms(self, message: Message, has_waited: bool = False) -> float | None:
        """Return the Retry-After with which a request is rejected before it is accepted; None if it is not rejected.

        0.0 rejects the request without a Retry-After.
        """
        class_index, tenant_index, _ = message.attributes
        is_retry = message.header(protocol.IS_RETRY) == protocol.TRUE
        return self._dispatcher.retry_after_if_rejected_ms(class_index, tenant_index, is_retry, has_waited)

    def retry_after_if_rejected_unparsed_ms(
        self, buffer: bytearray | bytes, length: int, has_waited: bool = False
    ) -> float | None:
        """Return the Retry-After with which unparsed bytes are rejected (0.0: without one); None if they have to be parsed.

        Only one complete plain request can be rejected unparsed, and only during load shedding.
        """
        if not self._dispatcher.overload.is_shedding() or self._lifecycle.is_stopping:
            return None
        headers = _plain_headers(bytes(memoryview(buffer)[:length]))
        if headers is None:
            return None
        class_index = self._classes.get(headers.get(protocol.REQUEST_CLASS))
        tenant_index = self._tenant_index(headers.get(protocol.TENANT))
        if class_index is None or tenant_index is None or not headers.get(protocol.TIME_LEFT_MS, b"").isdigit():
            return None
        is_retry = headers.get(protocol.IS_RETRY) == protocol.TRUE
        delay_ms = self._dispatcher.retry_after_if_rejected_ms(class_index, tenant_index, is_retry, has_waited)
        if delay_ms is None:
            self._was_admitted_unparsed = True
        else:
            self._request_ids.add(headers.get(protocol.REQUEST_ID, b""))  # a copy of it must not be served in its place
        return delay_ms

    # Acceptance

    def accept(self, message: Message, unread_ms: float = 0.0) -> RequestContext:
        """Accept a request for dispatch; `unread_ms` is how long it waited unread while the event loop was stalled."""
        class_index, tenant_index, time_left_ms = message.attributes
        waited_ms = unread_ms
        if message.is_complete:  # a pipelined request has waited since it was read, and maybe before
            waited_ms = max(unread_ms, environment.monotonic_ms() - message.written_at_ms)
        time_left_ms -= waited_ms
        key = None
        if self._has_affinity_keys:
            key = _AFFINITY_KEY.search(message.header(protocol.REQUEST_INFO) or b"")
        return self._dispatcher.accept_request(
            class_index,
            tenant_index,
            self.cap_time_left_ms(time_left_ms),
            message.header(protocol.IS_RETRY) == protocol.TRUE,
            key[1].decode("latin-1") if key else 0,
        )

    def cap_time_left_ms(self, time_left_ms: float) -> float:
        """Return the time left to answer a request, limited during shutdown.

        The deadline of a request whose last byte arrives late after SIGTERM may be later than SIGKILL, which would leave the
        request unanswered (safety rule 1).
        """
        return max(MIN_TIME_LEFT_MS, min(time_left_ms, self.answer_by_ms - environment.monotonic_ms()))


def _plain_headers(data: bytes) -> dict[bytes, bytes] | None:
    """Return the headers that a rejection needs; None if the data is not exactly one complete plain request."""
    head = PLAIN_REQUEST.match(data)
    if not head:
        return None
    headers: dict[bytes, bytes] = {}
    for name, value in _RELEVANT_HEADER.findall(data, 0, head.end() - 2):
        name = name.lower()
        if name in headers or name in PARSER_ONLY_HEADERS:
            return None  # repeated, or to be parsed
        headers[name] = value
    length = headers.get(b"content-length", b"0")
    if not length.isdigit() or len(length) > MAX_NUMBER_DIGITS or head.end() + int(length) != len(data):
        return None
    return headers
