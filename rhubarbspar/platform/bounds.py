"""Codec of the bounds that the platform lists in the settings of a process."""

import dataclasses
import types
import typing
from collections import abc

import voluptuous

from rhubarbspar.helpers import validators

_Decode: typing.TypeAlias = abc.Callable[[typing.Any], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """A bound of the platform: its name here, and the validator of its value."""

    name: str
    decode: _Decode


_FIELDS: typing.Final[abc.Mapping[str, _Field]] = types.MappingProxyType(
    {
        'budgetWindow': _Field('retry_window', validators.duration_ms),
        'exposureShare': _Field('exposure_ratio', validators.non_negative),
        'exposureSlack': _Field('exposure_allowance', validators.non_negative),
        'lease_time': _Field('lease_time', validators.duration_ms),
        'reportWindow': _Field('report_window', validators.duration_ms),
        'usageLate': _Field('usage_late', validators.duration_ms),
        'grace': _Field('stop_grace', validators.duration_ms),
        'retryBudgetRatio': _Field('retry_ratio', validators.non_negative),
        'retryBudgetSlack': _Field('retry_allowance', validators.non_negative),
        'valueBytes': _Field('store_content_bytes', validators.non_negative),
    }
)

_KNOWN: typing.Final = voluptuous.Schema(
    {
        voluptuous.Optional(platform_name): voluptuous.Any(None, field.decode)
        for platform_name, field in _FIELDS.items()
    },
    extra=voluptuous.REMOVE_EXTRA,
)


def decode(raw: typing.Any) -> dict[str, float]:
    """Return the bounds that are given, by their names here; others are ignored.

    Raises
    ------
    voluptuous.Invalid
        If a known bound is malformed; names the bound.
    """
    known: dict[str, float | None] = _KNOWN(raw)
    return {_FIELDS[key].name: bound for key, bound in known.items() if bound is not None}
