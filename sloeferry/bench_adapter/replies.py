"""Replies to the bench: the commands of all instances' policies, packed into one frame."""

from sloeferry.bench_adapter import protocol
from sloeferry.bench_adapter.protocol import US_PER_MS, Command


class FrameBuilder:
    """Collects the outgoing records of one frame from all instances."""

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        """Start a new frame."""
        self._records: list[bytes] = []
        self._tail = b""
        self._instance: int | None = None

    def add(self, instance: int, record: bytes) -> None:
        """Add a record of an instance."""
        if instance != self._instance:
            self._instance = instance
            self._records.append(protocol.FROM_INSTANCE.pack(Command.FROM_INSTANCE, instance))
        self._records.append(record)

    def add_failure(self, instance: int, text: str) -> None:
        """Add a record that an instance has failed."""
        data = text.encode()
        self.add(instance, protocol.INSTANCE_FAILED.pack(Command.INSTANCE_FAILED, len(self._tail), len(data)))
        self._tail += data

    def frame(self) -> bytes:
        """Return the complete frame."""
        body = b"".join(self._records) + self._tail
        return protocol.FRAME_OUT_HEADER.pack(len(body) + 4, len(self._records)) + body


class BenchHost:
    """The `PolicyHost` of one instance; each call adds one record to the frame."""

    def __init__(self, instance: int, builder: FrameBuilder):
        self._instance = instance
        self._builder = builder

    def send_attempt(self, request_id: int, endpoint_id: bytes) -> None:
        """Add the command to send an attempt, without a timeout of the bench."""
        no_timeout = 0
        self._builder.add(self._instance, protocol.SEND_ATTEMPT.pack(Command.SEND_ATTEMPT, request_id, endpoint_id, no_timeout))

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Add the command to cancel an attempt."""
        self._builder.add(self._instance, protocol.CANCEL_ATTEMPT.pack(Command.CANCEL_ATTEMPT, request_id, attempt_number))

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Add the command to reject a request."""
        retry_after_us = int(retry_after_ms * US_PER_MS)
        self._builder.add(self._instance, protocol.REJECT.pack(Command.REJECT, request_id, retry_after_us))

    def fail(self, request_id: int) -> None:
        """Add the command to fail a request."""
        self._builder.add(self._instance, protocol.FAIL.pack(Command.FAIL, request_id))

    def send_health_check(self, endpoint_id: bytes) -> None:
        """Add the command to send a health check."""
        self._builder.add(self._instance, protocol.SEND_HEALTH_CHECK.pack(Command.SEND_HEALTH_CHECK, endpoint_id))

    def schedule_wakeup(self, at: float, token: int) -> None:
        """Add the command to schedule a wake-up; its time is rounded up, so that no timer fires early."""
        at_us = min(protocol.MAX_TIME_US, -int(-at * US_PER_MS // 1))
        self._builder.add(self._instance, protocol.SCHEDULE_WAKEUP.pack(Command.SCHEDULE_WAKEUP, at_us, token))

    def poll_endpoints(self) -> None:
        """Add the command to poll discovery."""
        self._builder.add(self._instance, protocol.POLL_ENDPOINTS.pack(Command.POLL_ENDPOINTS, 1))
