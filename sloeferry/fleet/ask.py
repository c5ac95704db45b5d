"""Asks many addresses side by side, each call bounded in time and in bytes.  Whoever does not answer is unknown."""

import asyncio
import json
import re
from typing import NamedTuple

AT_ONCE = 64  # calls under way
PATIENCE = 2.0  # seconds for a whole call
MOST = 1 << 20  # bytes of an answer


class Unknown(NamedTuple):
    """Why nothing is known: refused, silent, or an answer that can't be one."""

    how: str
    why: str


async def call(address, path, method="GET"):
    """One call: the JSON object that was answered with yes (2xx), or Unknown."""
    writer, how = None, "silent"
    try:
        async with asyncio.timeout(PATIENCE):
            reader, writer = await asyncio.open_connection(*address, limit=MOST)
            how = "hung"  # its machine took the connection, the process says nothing
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n\r\n".encode())
            said = await reader.read(1)
            how = "garbled"
            while len(said) <= MOST and not whole(said) and (more := await reader.read(65536)):
                said += more
    except TimeoutError:
        return Unknown(how, f"no whole answer in {PATIENCE:g} s")
    except OSError as fault:
        return Unknown("down" if writer is None else how, fault.strerror or str(fault))
    finally:
        if writer:
            writer.transport.abort()
    return understood(said)


LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d{1,9})(?=\r\n)")


def whole(said):
    """Whether that is all of an answer, by the length that it states."""
    head, cut, body = said.partition(b"\r\n\r\n")
    length = LENGTH.search(head + b"\r\n")
    return bool(cut and length and len(body) >= int(length[1]))


def understood(said):
    """An answer's object, if it is whole and says 200."""
    head, cut, body = said.partition(b"\r\n\r\n")
    words, length = head.partition(b"\r\n")[0].split(), LENGTH.search(head + b"\r\n")
    if not cut or len(words) < 2 or not words[0].startswith(b"HTTP/1."):
        return Unknown("garbled", f"no HTTP answer: {said[:40]!r}")
    if words[1] not in (b"200", b"202"):
        return Unknown("untold", f"answered {words[1].decode('latin-1')[:20]}: its operators' file does not have it told")
    if not length or int(length[1]) != len(body):
        return Unknown("garbled", f"{len(body)} bytes of a body that was to be another length")
    try:
        found = json.loads(body)
    except (ValueError, RecursionError):
        found = None
    return found if isinstance(found, dict) else Unknown("garbled", f"no JSON object: {body[:40]!r}")


async def ask_all(roll, since, progress=lambda done: None):
    """What each proxy of the roll holds and did: (versions, acted) or Unknown, in the roll's order; with it what
    discovery says, where it may be asked.  Interrupted, what was not asked yet is Unknown."""
    gate, found = asyncio.Semaphore(AT_ONCE), [Unknown("unasked", "the audit was interrupted")] * len(roll.proxies)
    newest = None

    async def one(at, proxy):
        async with gate:
            versions = await call(proxy.at, "/admin/versions")
            if isinstance(versions, Unknown):
                found[at] = versions
            elif versions.get("name") != proxy.name:
                found[at] = Unknown("another", f"says that it is {versions.get('name')!r}")
            else:
                acted = await call(proxy.at, f"/admin/acted?since={since:g}" if since is not None else "/admin/acted")
                found[at] = acted if isinstance(acted, Unknown) else (versions, acted)
            progress(sum(not isinstance(one, Unknown) or one.how != "unasked" for one in found))

    async def list_now():
        nonlocal newest
        newest = await call(roll.discovery, "/v1/endpoints")

    work = [asyncio.create_task(one(at, proxy)) for at, proxy in enumerate(roll.proxies)]
    if roll.discovery:
        work.append(asyncio.create_task(list_now()))
    try:
        await asyncio.gather(*work)
    except asyncio.CancelledError:
        for task in work:
            task.cancel()
        await asyncio.wait(work)
    return found, newest
