"""What a proxy tells at /admin/versions and /admin/acted, as far as the audit reads it.  Ages in ms."""

from typing import TypedDict


class SettingsEntry(TypedDict):
    """Settings that a proxy holds or held."""

    generation: int  # counted within one process alone
    digest: str
    by: str  # what brought them: start or SIGHUP
    heard_ms: float
    acts: int  # requests taken on under them
    last_ms: float | None  # since the last of these; None: there was none


class ListEntry(TypedDict):
    """An endpoint list that a proxy holds or held."""

    incarnation: int
    revision: int
    digest: str
    by: str  # what brought it: the list as last held, or a discovery and its address
    heard_ms: float
    acts: int  # attempts by it
    last_ms: float | None


class Refusal(TypedDict):
    """A version that a proxy did not take."""

    ago_ms: float
    what: str  # settings or list
    why: str


class VersionsDocument(TypedDict):
    """What a proxy holds now."""

    name: str
    program: str
    up_ms: float
    settings: SettingsEntry
    list: ListEntry | None
    confirmed_ms: float | None  # since discovery last said that the list still stands; None: never
    refused: list[Refusal]


class ActsDocument(TypedDict):
    """What a proxy held and did under it, the oldest first."""

    settings: list[SettingsEntry]
    lists: list[ListEntry]
