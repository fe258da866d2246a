"""Sums of the results of versions that several instances report."""

import collections
import dataclasses
import typing
from collections import abc

from rhubarbspar.gateway import messages

_COUNT_FIELDS: typing.Final = ('sent', 'running', 'good', 'bad', 'slow')


def add_up(
    reports: abc.Iterable[abc.Iterable[messages.VersionResults]],
) -> tuple[messages.VersionResults, ...]:
    """Return the sums of results by service, version, rollout request and route."""
    grouped: dict[tuple[str, str, int, str], list[messages.VersionResults]] = (
        collections.defaultdict(list)
    )
    for report in reports:
        for counted in report:
            key = (counted.service_id, counted.version, counted.revision, counted.route_id)
            grouped[key].append(counted)
    return tuple(_sum(group) for group in grouped.values())


def _sum(group: abc.Sequence[messages.VersionResults]) -> messages.VersionResults:
    totals = {name: sum(getattr(counted, name) for counted in group) for name in _COUNT_FIELDS}
    return dataclasses.replace(group[0], **totals)
