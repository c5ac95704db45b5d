"""Joins the decision log to a proxy: it hears of settings and lists, is told of requests and attempts, answers operators."""

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

EVER_MS = 1e15
PROXY_KEYS = ("ordinal", "zone")  # settings that differ from proxy to proxy: no two would have one version
LIST_KEYS = ("schemes", "tenants")

AdminAnswer = tuple[int, dict[str, Any]]  # status, JSON


def program_digest() -> str:
    """The digest of this build: all of the package's files."""
    root = pathlib.Path(__file__).resolve().parents[1]
    return digest_of_files((str(path.relative_to(root)), path.read_bytes()) for path in root.rglob("*.py"))


def shared_settings(canonical: Mapping[str, Any]) -> dict[str, Any]:
    """The settings as all proxies have them, without what is one proxy's own.

    Request classes and tenants go by name, since a proxy's indexes depend on what stood there earlier.
    """
    shared: dict[str, Any] = {}
    entries: dict[tuple[str, str], dict[str, Any]] = {}
    for key, value in canonical.items():
        what, _, rest = key.partition(".")
        index, _, name = rest.partition(".")
        if what in LIST_KEYS:
            entries.setdefault((what, index), {})[name] = value
        elif key not in PROXY_KEYS:
            shared[key] = value
    named = {f"{what}/{entry['name']}": entry for (what, _), entry in entries.items() if "name" in entry}
    return shared | named


class DecisionRecorder:
    """Records what one proxy does.  `config` is what the process started with."""

    def __init__(self, dispatcher: Dispatcher, config: InstanceConfig, is_sent_along: bool = False):
        """`is_sent_along`: whether each attempt says what it acts on, in a header."""
        self._name = config.name
        self._is_sent_along = is_sent_along
        self.log = DecisionLog(environment.monotonic_ms(), program_digest())
        self.settings_applied(config, "start")
        dispatcher.policy.extensions.install(self.log)
        dispatcher.host.on_send_attempt = self._attempt_sent
        self._poll_anew: Callable[[], None] | None = None
        self._reload: Callable[[], None] | None = None

    def allow_bring_up(self, poll_anew: Callable[[], None], reload: Callable[[], None]) -> None:
        """Operators may have the proxy poll for the whole list, and read its file, again."""
        self._poll_anew, self._reload = poll_anew, reload

    def admin_calls(self) -> dict[bytes, tuple[bytes, Callable[[bytes], AdminAnswer]]]:
        """The operators' calls that are answered here: path -> (method, answer)."""
        calls = {
            b"/admin/versions": (b"GET", self._answer_versions),
            b"/admin/acted": (b"GET", self._answer_acted),
        }
        if self._poll_anew:
            calls[b"/admin/relist"] = (b"POST", self._answer_relist)
            calls[b"/admin/reread"] = (b"POST", self._answer_reread)
        return calls

    # What the process hears

    def settings_applied(self, config: InstanceConfig, source: str) -> None:
        """Settings act from now on."""
        digest = digest_of(shared_settings(config.settings.canonical))
        self.log.settings_applied(environment.monotonic_ms(), digest, source)

    def refused(self, what: str, reason: Any) -> None:
        """Something new was not taken."""
        self.log.refused(environment.monotonic_ms(), what, reason)

    def list_applied(self, revision: int, known: Mapping[str, ListedEndpoint], source: str | None = None) -> None:
        """A list acts from now on; `source` is who told it, None for one as last held."""
        endpoints = sorted((*each[:4], each.state.value, *each[5:]) for each in known.values())
        self.log.list_applied(environment.monotonic_ms(), revision, digest_of(endpoints), source or CACHED_SOURCE)

    def list_confirmed(self) -> None:
        """The watch says that the list still stands."""
        self.log.list_confirmed(environment.monotonic_ms())

    def _attempt_sent(self, context: RequestContext) -> None:
        self.log.attempt_sent(environment.monotonic_ms())
        if self._is_sent_along:
            context.version_headers = context.version_headers or {}
            line = b"X-Acted-On: %b\r\n" % self.log.version_summary(context.request_id).encode()
            context.version_headers[context.attempts_sent] = line

    # What operators are told

    def _current(self) -> dict[str, Any]:
        return {"name": self._name, **self.log.current(environment.monotonic_ms())}

    def _answer_versions(self, query: bytes) -> AdminAnswer:
        return 200, self._current()

    def _answer_relist(self, query: bytes) -> AdminAnswer:
        self._poll_anew()
        return 202, {"name": self._name}  # the list comes when discovery's turn for it does

    def _answer_reread(self, query: bytes) -> AdminAnswer:
        before = self.log.settings[-1]
        self._reload()
        is_reread = self.log.settings[-1] is not before
        return 200 if is_reread else 409, self._current()

    def _answer_acted(self, query: bytes) -> AdminAnswer:
        """`since`: seconds back; all without it."""
        text = parse_qs(query.decode("latin-1")).get("since", ["inf"])[-1]
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if not seconds >= 0:
            return 400, {"error": f"since: {text!r} is not a number of seconds from 0 up"}
        span_ms = min(seconds * 1000, EVER_MS)
        return 200, {"name": self._name, **self.log.recent_entries(environment.monotonic_ms(), span_ms)}
