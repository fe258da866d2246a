"""``explain``: show where a gateway would send a request now, and why."""

import argparse
import sys
import typing

from rhubarbspar.gateway import const as gateway_const
from rhubarbspar.gateway.explain import codec
from rhubarbspar.gateway.explain import models
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import http

EPILOG: typing.Final = (
    'example: rhubarbspar explain --gateway 10.1.0.23:9464 --host shop.example --path /stock/oak '
    '--account workshop; exit codes: 0 explained; 1 the gateway did not answer; 2 bad input'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument(
        '--gateway', required=True, metavar='HOST:PORT', help='metrics address of the gateway'
    )
    parser.add_argument('--host', required=True, help='host that the request names')
    parser.add_argument('--path', required=True, help='path of the request')
    parser.add_argument('--method', default='GET', help='method of the request (default: GET)')
    parser.add_argument(
        '--account', default='', metavar='ACCOUNT', help='client account that sends the request'
    )
    parser.add_argument(
        '--object', default='', metavar='KEY', help='object that the request concerns'
    )
    parser.add_argument(
        '--size', type=int, default=0, metavar='BYTES', help='size of the body (default: 0)'
    )
    parser.add_argument('--json', action='store_true', help='print the answer as JSON')


def run(parsed: argparse.Namespace) -> int:
    """Ask the gateway and print its explanation.

    Raises
    ------
    errors.InputError, errors.OperatorError
        If the gateway rejects the description of the request, or answers otherwise.
    http.HttpError
        If the gateway does not answer.
    """
    query = models.Query(
        parsed.method.upper(),
        parsed.host.lower(),
        parsed.path,
        parsed.account,
        parsed.object,
        parsed.size,
    )
    body = _ask(parsed.gateway, query)
    explanation = codec.decode_explanation(body)
    lines = [body.decode()] if parsed.json else _describe(explanation)
    sys.stdout.writelines(f'{line}\n' for line in lines)
    return const.EXIT_DONE


def _ask(address: str, query: models.Query) -> bytes:
    """Return the answer of a gateway."""
    response = http.call('GET', f'http://{address}{codec.encode_target(query)}')
    match response.status:
        case gateway_const.STATUS_OK:
            return response.body
        case gateway_const.STATUS_BAD_REQUEST:
            raise errors.InputError(response.body.decode(errors='replace'))
        case _:
            raise errors.OperatorError(f'the gateway answered with status {response.status}')


def _describe(explanation: models.Explanation) -> list[str]:
    """Return the lines that describe an explanation."""
    version = explanation.configuration_version
    outcome = _describe_outcome(explanation)
    store_age = _describe_age(explanation.store_age_ms)
    return [
        f'instance       {explanation.instance_id}',
        f'configuration  version {version}',
        f'store          revision {explanation.store_revision}, last contact {store_age}',
        f'route          {explanation.route_id}',
        f'service        {explanation.service_id}',
        f'priority       {explanation.priority}',
        f'outcome        {outcome}',
        'candidates',
        *(_describe_candidate(candidate) for candidate in explanation.candidates),
    ]


def _describe_age(age_ms: int | None) -> str:
    return 'never' if age_ms is None else f'{age_ms} ms ago'


def _describe_outcome(explanation: models.Explanation) -> str:
    refusal = explanation.refusal
    if refusal is None:
        sent = f'sent to {explanation.server_id}'
        return 'waits in the instance for capacity' if explanation.waits else sent
    refused = f'refused with status {refusal.status} ({refusal.reason})'
    if refusal.retry_after_ms is None:
        return refused
    return f'{refused}, retry after {round(refusal.retry_after_ms)} ms'


def _describe_candidate(candidate: models.Candidate) -> str:
    age = _describe_age(candidate.load_age_ms)
    fields = [
        candidate.server_id,
        candidate.failure_domain,
        f'version {candidate.version}',
        f'load {candidate.load} at {candidate.slots} slots',
        f'reported {age}',
        f'expected {candidate.expected_ms} ms',
        f'cost {candidate.cost_ms} ms',
    ]
    if candidate.exclusion != models.Exclusion.NONE:
        reason = candidate.exclusion.value
        fields.append(f'excluded: {reason}')
    description = ', '.join(fields)
    return f'  {description}'
