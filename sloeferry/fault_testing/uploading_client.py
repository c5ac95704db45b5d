"""A client of a run that uploads one long body after the other, and records how each ended."""

import asyncio
import dataclasses
from random import Random

from sloeferry.fault_testing.recorded_events import Event, EventSink
from sloeferry.stand_ins.upload_client import UploadClient, UploadRecord
from sloeferry.stand_ins.upload_plays import ID_PREFIX, UploadPlay, draw_play

PAUSE_SECONDS = 0.05  # between two uploads
PART_BYTES = 6400  # of a slow client, ten times a second at the slowest
OVERDUE_SECONDS = 1.0  # after its time, when an upload without an answer is broken off
MAX_UPLOAD_SECONDS = 30.0  # above the 15 s of the slowest client, and the longest silence of a backend


class UploadingClient:
    """One client of one proxy, with a connection for each upload."""

    def __init__(
        self,
        proxy: str,
        address: tuple[str, int],
        class_name: str,
        tenant: str,
        wait_ms: float,
        name: str,
        rng: Random,
        recorder: EventSink,
    ):
        """Create a client that waits `wait_ms` for each answer, from the last byte of its request on."""
        self._proxy = proxy
        self._address = address
        self._class_name = class_name
        self._tenant = tenant
        self._wait_ms = wait_ms
        self._name = name
        self._rng = rng
        self._recorder = recorder

    async def run(self, ends_at: float) -> None:
        """Upload until that loop time, and end the last upload."""
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < ends_at:
            count += 1
            await self._upload(loop, f"{ID_PREFIX}{self._name}-{count}", draw_play(self._rng))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _upload(self, loop: asyncio.AbstractEventLoop, request_id: str, play: UploadPlay) -> None:
        client = UploadClient(self._head(request_id, play), play.body_bytes, play.is_chunked, play.client_pace, PART_BYTES)
        try:
            async with asyncio.timeout(MAX_UPLOAD_SECONDS):
                await client.run(self._address)
        except (OSError, TimeoutError):
            pass
        except asyncio.CancelledError:  # the run is over
            if self._is_overdue(client.record, loop.time()):
                self._note(loop, request_id, client.record)
            raise
        self._note(loop, request_id, client.record)

    def _is_overdue(self, record: UploadRecord, now: float) -> bool:
        """Return whether an upload that is broken off should have been answered long ago."""
        return record.written_at is not None and now > record.written_at + self._wait_ms / 1000 + OVERDUE_SECONDS

    def _note(self, loop: asyncio.AbstractEventLoop, request_id: str, record: UploadRecord) -> None:
        without_answer = dataclasses.replace(record, answer=b"")
        self._recorder.note(loop.time(), Event.UPLOAD_ENDED, request_id, self._proxy, self._wait_ms / 1000, without_answer)

    def _head(self, request_id: str, play: UploadPlay) -> bytes:
        """Return the head up to its framing."""
        lines = [
            f"POST {play.backend.target()} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {request_id}",
            f"X-Call-Class: {self._class_name}",
            f"X-Caller: {self._tenant}",
            f"X-Budget-Ms: {self._wait_ms:.0f}",
        ]
        return "".join(f"{line}\r\n" for line in lines).encode()
