"""The replies of one frame: what the policies of all instances asked for."""

from sloeferry.bench_adapter import protocol
from sloeferry.bench_adapter.protocol import US_PER_MS, Command


class FrameBuilder:
    """Collects the records of one frame; every instance of the process writes here."""

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        """Begins another frame."""
        self._records: list[bytes] = []
        self._tail = b""
        self._instance: int | None = None

    def add(self, instance: int, record: bytes) -> None:
        """A record of that instance."""
        if instance != self._instance:
            self._instance = instance
            self._records.append(protocol.FROM_INSTANCE.pack(Command.FROM_INSTANCE, instance))
        self._records.append(record)

    def add_failure(self, instance: int, text: str) -> None:
        """That instance has failed."""
        data = text.encode()
        self.add(instance, protocol.INSTANCE_FAILED.pack(Command.INSTANCE_FAILED, len(self._tail), len(data)))
        self._tail += data

    def frame(self) -> bytes:
        """The whole frame."""
        body = b"".join(self._records) + self._tail
        return protocol.FRAME_OUT_HEADER.pack(len(body) + 4, len(self._records)) + body


class BenchHost:
    """One instance's `PolicyHost`: each call becomes one record."""

    def __init__(self, instance: int, builder: FrameBuilder):
        self._instance = instance
        self._builder = builder

    def send_attempt(self, request_id: int, endpoint_id: bytes) -> None:
        """`PolicyHost`."""
        never = 0
        self._builder.add(self._instance, protocol.SEND_ATTEMPT.pack(Command.SEND_ATTEMPT, request_id, endpoint_id, never))

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """`PolicyHost`."""
        self._builder.add(self._instance, protocol.CANCEL_ATTEMPT.pack(Command.CANCEL_ATTEMPT, request_id, attempt_number))

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """`PolicyHost`."""
        retry_after_us = int(retry_after_ms * US_PER_MS)
        self._builder.add(self._instance, protocol.REJECT.pack(Command.REJECT, request_id, retry_after_us))

    def fail(self, request_id: int) -> None:
        """`PolicyHost`."""
        self._builder.add(self._instance, protocol.FAIL.pack(Command.FAIL, request_id))

    def send_health_check(self, endpoint_id: bytes) -> None:
        """`PolicyHost`."""
        self._builder.add(self._instance, protocol.SEND_HEALTH_CHECK.pack(Command.SEND_HEALTH_CHECK, endpoint_id))

    def schedule_wakeup(self, at: float, token: int) -> None:
        """`PolicyHost`; rounded up, so that no timer is early."""
        at_us = min(protocol.MAX_TIME_US, -int(-at * US_PER_MS // 1))
        self._builder.add(self._instance, protocol.SCHEDULE_WAKEUP.pack(Command.SCHEDULE_WAKEUP, at_us, token))

    def poll_endpoints(self) -> None:
        """`PolicyHost`."""
        self._builder.add(self._instance, protocol.POLL_ENDPOINTS.pack(Command.POLL_ENDPOINTS, 1))
