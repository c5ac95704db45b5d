"""Discovery's documents, decoded into typed records and back."""

import math
import socket
from collections.abc import Mapping
from typing import Any, NamedTuple

from sloeferry.config.instance import Address
from sloeferry.config.settings import Settings
from sloeferry.dispatch.endpoint_events import ListedEndpoint
from sloeferry.network import protocol
from sloeferry.network.limited_log import warn
from sloeferry.policy.interface import EndpointState

MAX_QUOTED = 120  # characters of what was not understood


class EndpointEntry(NamedTuple):
    """One entry of a list document."""

    endpoint: ListedEndpoint
    address: Address | None  # None: it could not be read, what was known holds


class ListDocument(NamedTuple):
    """A list, complete or only changes."""

    revision: int
    is_complete: bool
    entries: list[Any]  # as they came


class DocumentCodec:
    """Reads documents, with zones and kinds of machines as indexes into the settings of the start."""

    def __init__(self, settings: Settings):
        self._zones = {name: at for at, name in enumerate(settings.zones)}
        self._machine_kinds = {name: at for at, name in enumerate(settings.machine_kinds)}

    def read_list(self, document: Any) -> ListDocument | None:
        """The list; None, with a warning, for what is none."""
        document = document if isinstance(document, dict) else {}
        revision, entries = document.get(protocol.REVISION), document.get(protocol.ENDPOINTS)
        if not isinstance(revision, int) or not isinstance(entries, list):
            warn("endpoint list", "not understood, ignored: {!r}", str(document)[:MAX_QUOTED])
            return None
        return ListDocument(revision, document.get(protocol.IS_COMPLETE) is True, entries)

    def read_entry(self, entry: Any, known: Mapping[str, ListedEndpoint]) -> EndpointEntry | None:
        """One entry; one that cannot be read stays as it was known, None if it was not."""
        endpoint_id = entry.get(protocol.ENDPOINT_ID) if isinstance(entry, dict) else None
        if not isinstance(endpoint_id, str):
            warn("endpoint list entry", "without an id, ignored: {!r}", str(entry)[:MAX_QUOTED])
            return None
        try:
            return self._read_entry(endpoint_id, entry)
        except (KeyError, TypeError, ValueError, AttributeError, OSError, OverflowError):
            warn("endpoint list entry", "not understood, ignored: {!r}", str(entry)[:MAX_QUOTED])
        before, state = known.get(endpoint_id), entry.get(protocol.ENDPOINT_STATE)
        if before is None:
            return None
        # What it says for certain holds: a drain must not go unheard for the sake of a broken address (rule 3).
        if state in (protocol.STATE_NAMES[EndpointState.DRAINING], protocol.STATE_NAMES[EndpointState.GONE]):
            before = before._replace(state=protocol.ENDPOINT_STATES[state])
        return EndpointEntry(before, None)

    def _read_entry(self, endpoint_id: str, entry: Mapping[str, Any]) -> EndpointEntry:
        state = protocol.ENDPOINT_STATES[entry[protocol.ENDPOINT_STATE]]
        host, _, port = entry[protocol.ENDPOINT_ADDRESS].rpartition(":")
        address = host, int(port)
        socket.inet_aton(host)
        capacity_share = float(entry.get(protocol.CAPACITY_SHARE, 1.0))
        started_at = float(entry.get(protocol.STARTED_AT_UNIX_MS) or 0)
        if not (host.count(".") == 3 and 0 < address[1] < 65536 and math.isfinite(capacity_share + started_at)):
            raise ValueError(f"no address, or no number, of {endpoint_id}")
        # A name that the settings do not know stands for itself: two of them are not one zone (rule 2), and each proxy
        # tells them apart alike, whichever it met first.
        zone, kind = entry.get(protocol.ENDPOINT_ZONE), entry.get(protocol.MACHINE_KIND)
        endpoint = ListedEndpoint(
            endpoint_id,
            self._zones.get(zone, str(zone)),
            self._machine_kinds.get(kind, str(kind)),
            int(entry.get(protocol.ENDPOINT_CELL, 0)),
            state,
            capacity_share,
            started_at,
        )
        return EndpointEntry(endpoint, address)

    def write_list(self, revision: int, known: Mapping[str, ListedEndpoint], addresses: Mapping[str, Address]) -> dict[str, Any]:
        """The list as it is known, in discovery's form, for a snapshot."""
        zones = {at: name for name, at in self._zones.items()}
        kinds = {at: name for name, at in self._machine_kinds.items()}
        return {
            protocol.REVISION: revision,
            protocol.IS_COMPLETE: True,
            protocol.ENDPOINTS: [
                {
                    protocol.ENDPOINT_ID: endpoint.endpoint_id,
                    protocol.ENDPOINT_ADDRESS: "{}:{}".format(*addresses[endpoint.endpoint_id]),
                    protocol.ENDPOINT_ZONE: zones.get(endpoint.zone, endpoint.zone),
                    protocol.MACHINE_KIND: kinds.get(endpoint.machine_kind, endpoint.machine_kind),
                    protocol.ENDPOINT_CELL: endpoint.cell,
                    protocol.ENDPOINT_STATE: protocol.STATE_NAMES[endpoint.state],
                    protocol.CAPACITY_SHARE: endpoint.capacity_share,
                    protocol.STARTED_AT_UNIX_MS: endpoint.started_at_unix_ms,
                }
                for endpoint in known.values()
                if endpoint.endpoint_id in addresses
            ],
        }
