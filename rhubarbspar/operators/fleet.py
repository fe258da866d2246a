"""Client for the instances: the platform's list of instances and their admin endpoints."""

import dataclasses
import json
import typing

from rhubarbspar.operators import errors
from rhubarbspar.operators import http
from rhubarbspar.storage import const as storage_const

_PATH_CONFIGURATION: typing.Final = '/v1/admin/configuration'
_STATUS_OK: typing.Final = 200
_STATUSES_ACCEPTED: typing.Final = frozenset((200, 202, 204))


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A listed instance; ``admin_address`` is empty if the list does not give it."""

    instance_id: str
    admin_address: str


class Fleet(typing.Protocol):
    """Access to the instances that the commands use."""

    def instances(self) -> tuple[Instance, ...]:
        """Return the listed instances; raises ``errors.InstanceListError``."""

    def push(self, instance: Instance, encoded: bytes, revision: int) -> None:
        """Send a configuration document to an instance; raises ``errors.PushError``."""


class HttpFleet:
    """HTTP client for the instances in the list at one URL; implements ``Fleet``."""

    def __init__(self, instance_list_url: str, operator_key: str) -> None:
        """Take the base URL of the list and the access key for the admin endpoints."""
        self._list_url = instance_list_url.rstrip('/')
        self._operator_key = operator_key

    def instances(self) -> tuple[Instance, ...]:
        """Fetch and parse the list of instances."""
        try:
            response = http.call('GET', f'{self._list_url}{storage_const.PATH_INSTANCES}')
        except http.HttpError as error:
            raise errors.InstanceListError(f'list of instances: {error}') from error
        if response.status != _STATUS_OK:
            raise errors.InstanceListError(f'list of instances: status {response.status}')
        try:
            return tuple(_parse_instance(entry) for entry in json.loads(response.body))
        except (KeyError, TypeError, ValueError) as malformed:
            raise errors.InstanceListError('list of instances is malformed') from malformed

    def push(self, instance: Instance, encoded: bytes, revision: int) -> None:
        """Post a configuration document and its revision to an instance's admin endpoint."""
        headers = {
            'Authorization': f'Bearer {self._operator_key}',
            'Configuration-Revision': str(revision),
            'Content-Type': 'application/json',
        }
        if not instance.admin_address:
            raise errors.PushError('the list gives no admin address')
        url = f'http://{instance.admin_address}{_PATH_CONFIGURATION}'
        try:
            response = http.call('POST', url, encoded, headers)
        except http.HttpError as error:
            raise errors.PushError(str(error)) from error
        if response.status not in _STATUSES_ACCEPTED:
            raise errors.PushError(f'status {response.status}')


def _parse_instance(entry: dict[str, typing.Any]) -> Instance:
    return Instance(str(entry['instance_id']), str(entry.get('admin_address', '')))
