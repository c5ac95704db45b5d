"""Connects the decision log to a proxy: records settings, endpoint lists and attempts, and answers the admin calls."""

import math
import pathlib
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

from sloeferry import environment
from sloeferry.config.instance import InstanceConfig
from sloeferry.decision_log.decision_log import CACHED_SOURCE, DecisionLog
from sloeferry.decision_log.versions import digest_of, digest_of_files
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.dispatch.endpoint_events import ListedEndpoint
from sloeferry.dispatch.request_context import RequestContext

MAX_SPAN_MS = 1e15
# Settings that differ between proxies; in the digest, they would give each proxy a version of its own.
PER_PROXY_KEYS = ("ordinal", "zone")
INDEXED_KEYS = ("schemes", "tenants")

AdminAnswer = tuple[int, dict[str, Any]]  # status, JSON


def program_digest() -> str:
    """Return the digest of this build, computed from all source files of the package."""
    root = pathlib.Path(__file__).resolve().parents[1]
    return digest_of_files((str(path.relative_to(root)), path.read_bytes()) for path in root.rglob("*.py"))


def shared_settings(canonical: Mapping[str, Any]) -> dict[str, Any]:
    """Return the settings that all proxies share, without those of a single proxy.

    Request classes and tenants are keyed by name, since their indexes in a proxy depend on its earlier settings.
    """
    shared: dict[str, Any] = {}
    entries: dict[tuple[str, str], dict[str, Any]] = {}
    for key, value in canonical.items():
        table, _, rest = key.partition(".")
        index, _, name = rest.partition(".")
        if table in INDEXED_KEYS:
            entries.setdefault((table, index), {})[name] = value
        elif key not in PER_PROXY_KEYS:
            shared[key] = value
    entries_by_name = {f"{table}/{entry['name']}": entry for (table, _), entry in entries.items() if "name" in entry}
    return shared | entries_by_name


class DecisionRecorder:
    """Records the versions and actions of one proxy; `config` is the configuration at the start of the process."""

    def __init__(self, dispatcher: Dispatcher, config: InstanceConfig, sends_version_header: bool = False):
        """Install the log in the dispatcher; with `sends_version_header`, each attempt has a header with its versions."""
        self._name = config.name
        self._sends_version_header = sends_version_header
        self.log = DecisionLog(environment.monotonic_ms(), program_digest())
        self.settings_applied(config, "start")
        dispatcher.policy.extensions.install(self.log)
        dispatcher.host.on_send_attempt = self._attempt_sent
        self._poll_again: Callable[[], None] | None = None
        self._reload: Callable[[], None] | None = None

    def allow_bring_up(self, poll_again: Callable[[], None], reload: Callable[[], None]) -> None:
        """Enable the admin calls that poll the complete endpoint list and reload the configuration file."""
        self._poll_again, self._reload = poll_again, reload

    def admin_calls(self) -> dict[bytes, tuple[bytes, Callable[[bytes], AdminAnswer]]]:
        """Return the admin calls answered by this recorder, as path -> (method, handler)."""
        handlers = {
            b"/admin/versions": (b"GET", self._answer_versions),
            b"/admin/acted": (b"GET", self._answer_acted),
        }
        if self._poll_again:
            handlers[b"/admin/relist"] = (b"POST", self._answer_relist)
            handlers[b"/admin/reread"] = (b"POST", self._answer_reread)
        return handlers

    # Events of the process

    def settings_applied(self, config: InstanceConfig, source: str) -> None:
        """Record that settings are in use from now on."""
        digest = digest_of(shared_settings(config.settings.canonical))
        self.log.settings_applied(environment.monotonic_ms(), digest, source)

    def refused(self, subject: str, reason: Any) -> None:
        """Record that a new version was refused."""
        self.log.refused(environment.monotonic_ms(), subject, reason)

    def list_applied(self, revision: int, known_endpoints: Mapping[str, ListedEndpoint], source: str | None = None) -> None:
        """Record that an endpoint list is in use from now on; a `source` of None means a cached list."""
        endpoints = sorted((*endpoint[:4], endpoint.state.value, *endpoint[5:]) for endpoint in known_endpoints.values())
        self.log.list_applied(environment.monotonic_ms(), revision, digest_of(endpoints), source or CACHED_SOURCE)

    def list_confirmed(self) -> None:
        """Record that the discovery watch has confirmed the current list."""
        self.log.list_confirmed(environment.monotonic_ms())

    def _attempt_sent(self, context: RequestContext) -> None:
        self.log.attempt_sent(environment.monotonic_ms())
        if self._sends_version_header:
            context.version_headers = context.version_headers or {}
            header_line = b"X-Acted-On: %b\r\n" % self.log.version_summary(context.request_id).encode()
            context.version_headers[context.attempts_sent] = header_line

    # Admin calls

    def _current(self) -> dict[str, Any]:
        return {"name": self._name, **self.log.current(environment.monotonic_ms())}

    def _answer_versions(self, query: bytes) -> AdminAnswer:
        return 200, self._current()

    def _answer_relist(self, query: bytes) -> AdminAnswer:
        self._poll_again()
        return 202, {"name": self._name}  # the poll runs later, in its turn

    def _answer_reread(self, query: bytes) -> AdminAnswer:
        previous = self.log.settings[-1]
        self._reload()
        is_reloaded = self.log.settings[-1] is not previous
        return 200 if is_reloaded else 409, self._current()

    def _answer_acted(self, query: bytes) -> AdminAnswer:
        """Return the entries of the last `since` seconds of the query, all entries without it."""
        text = parse_qs(query.decode("latin-1")).get("since", ["inf"])[-1]
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if not seconds >= 0:
            return 400, {"error": f"since: {text!r} is not a number of seconds from 0 up"}
        span_ms = min(seconds * 1000, MAX_SPAN_MS)
        return 200, {"name": self._name, **self.log.recent_entries(environment.monotonic_ms(), span_ms)}
