"""Discovery's list documents: decodes them into typed records and encodes the known list."""

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

MAX_QUOTED = 120  # characters of an unreadable document or entry in a log line


class EndpointListEntry(NamedTuple):
    """A decoded entry of a list document."""

    endpoint: ListedEndpoint
    address: Address | None  # None: it could not be read, and the known address remains valid


class ListDocument(NamedTuple):
    """A decoded list document: the complete list, or only the changes."""

    revision: int
    is_complete: bool
    entries: list[Any]  # not yet decoded


class DocumentCodec:
    """Decodes and encodes list documents; zones and machine kinds are indexes into the settings of the process's start."""

    def __init__(self, settings: Settings):
        self._zones = {name: index for index, name in enumerate(settings.zones)}
        self._machine_kinds = {name: index for index, name in enumerate(settings.machine_kinds)}

    def read_list(self, document: Any) -> ListDocument | None:
        """Decode a list document without its entries; return None, with a warning, if it is not a list."""
        document = document if isinstance(document, dict) else {}
        revision, entries = document.get(protocol.REVISION), document.get(protocol.ENDPOINTS)
        if not isinstance(revision, int) or not isinstance(entries, list):
            warn("endpoint list", "not understood, ignored: {!r}", str(document)[:MAX_QUOTED])
            return None
        return ListDocument(revision, document.get(protocol.IS_COMPLETE) is True, entries)

    def read_entry(self, entry: Any, known: Mapping[str, ListedEndpoint]) -> EndpointListEntry | None:
        """Decode an entry; for an unreadable one, return the endpoint as known, or None if it is unknown."""
        endpoint_id = entry.get(protocol.ENDPOINT_ID) if isinstance(entry, dict) else None
        if not isinstance(endpoint_id, str):
            warn("endpoint list entry", "without an id, ignored: {!r}", str(entry)[:MAX_QUOTED])
            return None
        try:
            return self._read_entry(endpoint_id, entry)
        except (KeyError, TypeError, ValueError, AttributeError, OSError, OverflowError):
            warn("endpoint list entry", "not understood, ignored: {!r}", str(entry)[:MAX_QUOTED])
        known_endpoint, state = known.get(endpoint_id), entry.get(protocol.ENDPOINT_STATE)
        if known_endpoint is None:
            return None
        # A readable state is applied even if another field is invalid: a drain must not be missed because of a malformed
        # address (rule 3).
        if state in (protocol.STATE_NAMES[EndpointState.DRAINING], protocol.STATE_NAMES[EndpointState.GONE]):
            known_endpoint = known_endpoint._replace(state=protocol.ENDPOINT_STATES[state])
        return EndpointListEntry(known_endpoint, None)

    def _read_entry(self, endpoint_id: str, entry: Mapping[str, Any]) -> EndpointListEntry:
        state = protocol.ENDPOINT_STATES[entry[protocol.ENDPOINT_STATE]]
        host, _, port = entry[protocol.ENDPOINT_ADDRESS].rpartition(":")
        address = host, int(port)
        socket.inet_aton(host)
        capacity_share = float(entry.get(protocol.CAPACITY_SHARE, 1.0))
        started_at = float(entry.get(protocol.STARTED_AT_UNIX_MS) or 0)
        if not (host.count(".") == 3 and 0 < address[1] < 65536 and math.isfinite(capacity_share + started_at)):
            raise ValueError(f"expected an address IPv4:PORT and finite numbers for endpoint {endpoint_id}")
        # A zone or machine kind that the settings do not contain keeps its name as its identity.  Two unknown zones must not
        # count as one (rule 2), and all proxies must identify them alike, in whatever order they first saw them.
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
        return EndpointListEntry(endpoint, address)

    def write_list(self, revision: int, known: Mapping[str, ListedEndpoint], addresses: Mapping[str, Address]) -> dict[str, Any]:
        """Return the known list as a document in discovery's format, for a snapshot."""
        zones = {index: name for name, index in self._zones.items()}
        kinds = {index: name for name, index in self._machine_kinds.items()}
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
