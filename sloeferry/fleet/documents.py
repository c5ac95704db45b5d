"""Types of the documents at /admin/versions and /admin/acted, with the fields that the audit reads; ages are in ms."""

from typing import TypedDict


class SettingsEntry(TypedDict):
    """A version of the settings that a proxy holds or has held."""

    generation: int  # counted separately by each process
    digest: str
    by: str  # their source: start or SIGHUP
    heard_ms: float  # age: ms since the proxy received it
    acts: int  # requests accepted under them
    last_ms: float | None  # ms since the last of these requests; None if there was none


class ListEntry(TypedDict):
    """A version of the endpoint list that a proxy holds or has held."""

    incarnation: int
    revision: int
    digest: str
    by: str  # its source: a previous process, or a discovery and its address
    heard_ms: float  # age: ms since the proxy received it
    acts: int  # attempts sent under it
    last_ms: float | None  # ms since the last of these attempts; None if there was none


class Refusal(TypedDict):
    """A version that a proxy rejected."""

    ago_ms: float
    what: str  # settings or list
    why: str


class VersionsDocument(TypedDict):
    """The versions that a proxy holds."""

    name: str
    program: str
    up_ms: float
    settings: SettingsEntry
    list: ListEntry | None
    confirmed_ms: float | None  # since discovery last confirmed the list; None if it never has
    refused: list[Refusal]


class ActsDocument(TypedDict):
    """The versions that a proxy has held and its acts under them, oldest first."""

    settings: list[SettingsEntry]
    lists: list[ListEntry]
