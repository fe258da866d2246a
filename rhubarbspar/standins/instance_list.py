"""Stand-in for the platform's lagging list of instances."""

import typing

from rhubarbspar.storage import errors as platform_errors
from rhubarbspar.storage import instance_list
from rhubarbspar.standins import const
from rhubarbspar.standins import errors
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import process
from rhubarbspar.standins import web

_Entries: typing.TypeAlias = tuple[dict[str, typing.Any], ...]


class InstanceList:
    """A list that shows its entries as they were some time ago.

    Control endpoints: ``POST /control/instances`` replaces all entries; ``POST /control/instance``
    adds or replaces one; ``POST /control/remove`` with ``{"instance_id"}`` removes one;
    ``POST /control/lag`` with ``{"lag_ms"}`` sets the lag.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    lag_ms
        Age of the entries that the list shows.
    clock
        Its time governs the lag; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: web.Reactor,
        lag_ms: float = 0,
        clock: web.Reactor | None = None,
    ) -> None:
        """Listen nowhere yet."""
        self.lag_ms = lag_ms
        self.service = web.Service(reactor, self._receive, self._control, clock=clock)
        self._clock = clock or reactor
        self._history: list[tuple[float, _Entries]] = [(float('-inf'), ())]

    def replace(self, entries: _Entries) -> None:
        """Replace all entries.

        Raises
        ------
        errors.ControlError
            If an entry is malformed.
        """
        try:
            instance_list.parse(list(entries))
        except platform_errors.AnswerError as error:
            raise errors.ControlError(str(error)) from error
        self._history.append((self._clock.seconds(), entries))

    def shown(self) -> _Entries:
        """Return the entries that callers see."""
        until_s = self._clock.seconds() - self.lag_ms / const.MS_PER_S
        return next(entries for since_s, entries in reversed(self._history) if since_s <= until_s)

    def _receive(self, exchange: exchanges.Exchange) -> None:
        if exchange.path == '/v1/instances':
            exchange.answer_json(self.shown())
        else:
            exchange.answer_json({}, const.HTTP_NOT_FOUND)

    def _control(self, exchange: exchanges.Exchange) -> None:
        document = exchange.document()
        try:
            self._change(exchange.path, document)
        except (KeyError, TypeError) as error:
            raise errors.ControlError(f'malformed: {error}') from error
        exchange.answer_json({})

    def _change(self, path: str, document: typing.Any) -> None:
        match path:
            case '/control/instances':
                self.replace(tuple(document))
            case '/control/instance':
                self.replace((*self._others(document), document))
            case '/control/remove':
                self.replace(self._others(document))
            case '/control/lag':
                self.lag_ms = float(document['lag_ms'])
            case _:
                raise errors.ControlError(f'{path}: no such control endpoint')

    def _others(self, document: typing.Any) -> _Entries:
        _since_s, present = self._history[-1]
        instance_id = document['instance_id']
        return tuple(entry for entry in present if entry['instance_id'] != instance_id)


def main() -> None:
    """Run a list of instances as a process."""
    parser = process.parser('instance_list')
    parser.add_argument('--lag-ms', type=float, default=0)
    arguments = parser.parse_args()
    process.run(
        lambda reactor: InstanceList(reactor, arguments.lag_ms).service.listen(arguments.port),
    )


if __name__ == '__main__':
    main()
