"""The instances as operators reach them: the platform's list and the admin endpoints."""

import dataclasses
import json
import typing

from rhubarbspar.operators import errors
from rhubarbspar.operators import http
from rhubarbspar.storage import const as platform_const

_PATH_CONFIGURATION: typing.Final = '/v1/admin/configuration'
_STATUS_OK: typing.Final = 200
_STATUSES_TAKEN: typing.Final = frozenset((200, 202, 204))


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A listed instance; ``admin_address`` is empty if the list does not give it."""

    instance_id: str
    admin_address: str


class Fleet(typing.Protocol):
    """What the commands need of the instances."""

    def instances(self) -> tuple[Instance, ...]:
        """Read the list of instances; raises ``errors.InstanceListError``."""

    def push(self, instance: Instance, encoded: bytes, revision: int) -> None:
        """Hand a configuration document to an instance; raises ``errors.PushError``."""


class HttpFleet:
    """The instances of a list at one URL; implements ``Fleet``."""

    def __init__(self, instance_list_url: str, operator_key: str) -> None:
        """Keep where the list is and the key of the admin endpoints."""
        self._list_url = instance_list_url.rstrip('/')
        self._operator_key = operator_key

    def instances(self) -> tuple[Instance, ...]:
        """Read the list of instances."""
        try:
            answer = http.call('GET', f'{self._list_url}{platform_const.PATH_INSTANCES}')
        except http.HttpError as error:
            raise errors.InstanceListError(f'list of instances: {error}') from error
        if answer.status != _STATUS_OK:
            raise errors.InstanceListError(f'list of instances: status {answer.status}')
        try:
            return tuple(_instance(entry) for entry in json.loads(answer.body))
        except (KeyError, TypeError, ValueError) as malformed:
            raise errors.InstanceListError('list of instances is malformed') from malformed

    def push(self, instance: Instance, encoded: bytes, revision: int) -> None:
        """Hand a configuration document to an instance."""
        headers = {
            'Authorization': f'Bearer {self._operator_key}',
            'Configuration-Revision': str(revision),
            'Content-Type': 'application/json',
        }
        if not instance.admin_address:
            raise errors.PushError('the list gives no admin address')
        url = f'http://{instance.admin_address}{_PATH_CONFIGURATION}'
        try:
            answer = http.call('POST', url, encoded, headers)
        except http.HttpError as error:
            raise errors.PushError(str(error)) from error
        if answer.status not in _STATUSES_TAKEN:
            raise errors.PushError(f'status {answer.status}')


def _instance(entry: dict[str, typing.Any]) -> Instance:
    return Instance(str(entry['instance_id']), str(entry.get('admin_address', '')))
