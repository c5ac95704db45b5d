"""Formats an audit as text: counts, then the proxies that do not hold the newest versions."""

from sloeferry.fleet.audit_record import FleetAudit, ProxyRow, ProxyState, ReachTimes


def format_audit(audit: FleetAudit, with_current: bool) -> str:
    """Return the text of an audit; with `with_current` it has rows for the proxies with the newest versions, too."""
    newest = audit.newest
    source = "from discovery" if newest.by_discovery else "the highest revision held by any proxy"
    lines = [
        f"{len(audit.rows)} proxies: {audit.count(ProxyState.CURRENT)} current, "
        f"{audit.count(ProxyState.STRAGGLER)} stragglers, {audit.count(ProxyState.UNKNOWN)} unknown; "
        f"{audit.acts_after_bound()} acts on an old version after the bound",
        f"newest: settings {newest.settings}, list {newest.list_revision} ({source})",
    ]
    lines += [f"  {item.log_key} reached {_format_times(times)}" for item, times in audit.reached.items()]
    lines += _format_rows([row for row in audit.rows if with_current or row.state is not ProxyState.CURRENT])
    for contradiction in audit.contradictions:
        lines.append(f"  revision {contradiction.revision} has contradicting contents:")
        lines += [f"    {content}: {', '.join(names)}" for content, names in contradiction.proxies_by_content.items()]
    if audit.queried_count() < len(audit.rows):
        lines.append(f"  interrupted: {audit.queried_count()} of {len(audit.rows)} were queried")
    return "\n".join(lines)


def _format_times(times: ReachTimes) -> str:
    return ", ".join(
        f"{percentage} {'not yet' if ms is None else f'after {ms / 1000:.1f} s'}" for percentage, ms in times.items()
    )


def _format_rows(rows: list[ProxyRow]) -> list[str]:
    if not rows:
        return []
    width = max(len(row.name) for row in rows)
    header = f"  {'name':{width}s}  state      settings          list      cause"
    return [header, *(_format_row(row, width) for row in rows)]


def _format_row(row: ProxyRow, width: int) -> str:
    settings = row.held.settings_digest if row.held else "-"
    held_list = row.held and row.held.list_incarnation_and_revision
    version = "{}/{}".format(*held_list) if held_list else "-"
    separator = ": " if row.evidence else ""
    return f"  {row.name:{width}s}  {row.state.value:9s}  {settings:16s}  {version:8s}  {row.cause}{separator}{row.evidence}"
