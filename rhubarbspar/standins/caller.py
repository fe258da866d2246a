"""Stand-in for a caller: sends requests at a rate and verifies every answer."""

import argparse
import dataclasses
import json
import random
import sys
import typing

import loguru
from twisted.internet import defer
from twisted.python import failure

from rhubarbspar.standins import caller_attempts
from rhubarbspar.standins import caller_http
from rhubarbspar.standins import caller_lookups
from rhubarbspar.standins import caller_models
from rhubarbspar.standins import const
from rhubarbspar.standins import errors
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import process
from rhubarbspar.standins import web

_REFUSED = caller_models.Verdict.REFUSED


class Caller:
    """Sends requests and counts how they end.

    Control endpoints: ``GET /control/summary``; ``GET /control/tokens`` answers the tokens of all
    requests by result; ``POST /control/faults`` with ``freeze`` or ``down`` pauses new requests.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    settings
        What to send.
    name
        Start of all tokens; has to differ between callers.
    seed
        Of the choice between methods.
    """

    def __init__(
        self,
        reactor: web.Reactor,
        settings: caller_models.CallerSettings,
        name: str = 'caller',
        seed: int = 0,
    ) -> None:
        """Send nothing yet."""
        self.service = web.Service(reactor, _refuse, self._control)
        self.summary = caller_models.Summary()
        self._due_s = reactor.seconds()
        self._http = caller_http.HttpCaller(reactor)
        self._lookups = caller_lookups.Lookups(
            self._http,
            settings,
            self.summary,
            self._now_ms,
        )
        self._name = name
        self._pending: set[defer.Deferred[caller_models.Result | None]] = set()
        self._randomness = random.Random(seed)
        self._reactor = reactor
        self._settings = settings
        self._targets = {
            const.METHOD_GET: _target(settings, settings.get_path),
            const.METHOD_POST: _target(settings, settings.post_path),
        }
        self._timer: typing.Any = None

    def start(self) -> None:
        """Send requests at the rate until ``stop``."""
        now_s = self._reactor.seconds()
        # The schedule is kept when timers are late, so that a busy caller sends no less.
        self._due_s = max(self._due_s, now_s - const.CALLER_BACKLOG_S)
        self._due_s += 1 / self._settings.rate_per_s
        self._timer = self._reactor.callLater(max(0, self._due_s - now_s), self.start)
        if not (self.service.faults.freeze or self.service.faults.down):
            self.send()

    async def stop(self) -> None:
        """Send no more requests and wait for the results of those under way."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        await defer.gatherResults(self._pending)
        await self._http.close()
        await self.service.close()

    def send(self) -> None:
        """Start one request."""
        sent = defer.Deferred.fromCoroutine(self.request())
        pending = sent.addErrback(_log)
        self._pending.add(pending)
        pending.addBoth(lambda _ended: self._pending.discard(pending))

    async def request(self, method: str | None = None) -> caller_models.Result:
        """Send one request, repeat it as its results allow, and return the final result."""
        self.summary.started += 1
        number = self.summary.started
        attempts = caller_attempts.Attempts(
            token=f'{self._name}-{number}',
            method=method or self._choose_method(),
            crashes=self._randomness.random() < self._settings.crash_share,
        )
        started_ms = self._now_ms()
        await self._repeat(attempts)
        outcome = attempts.final()
        self.summary.record(attempts.token, outcome, self._now_ms() - started_ms)
        return outcome

    def _choose_method(self) -> str:
        if self._randomness.random() < self._settings.post_share:
            return const.METHOD_POST
        return const.METHOD_GET

    async def _repeat(self, attempts: caller_attempts.Attempts) -> None:
        while attempts.count < const.CALLER_ATTEMPTS_MAX:
            try:
                lookup = await self._lookups.get()
            except caller_lookups.NoLookupError:
                attempts.add(caller_models.Result(_REFUSED, const.REASON_NO_LOOKUP))
                return
            url = attempts.choose(lookup)
            outcome = await self._attempt(attempts, url)
            attempts.add(outcome)
            if not attempts.may_repeat():
                return
            self.summary.repeats[outcome.reason] += 1

    async def _attempt(
        self,
        attempts: caller_attempts.Attempts,
        url: str,
    ) -> caller_models.Result:
        body = attempts.token.encode() if attempts.method == const.METHOD_POST else b''
        try:
            answer = await self._http.send(
                attempts.method,
                url + self._targets[attempts.method],
                self._headers(attempts),
                body,
                self._settings.timeout_ms + const.CALLER_GRACE_MS,
            )
        except caller_http.NotSentError as refused:
            return caller_models.Result(_REFUSED, str(refused), temporary=True)
        except caller_http.ConnectionLostError as lost:
            return caller_models.Result(caller_models.Verdict.LOST, str(lost))
        return caller_attempts.judge(answer, attempts.token)

    def _headers(self, attempts: caller_attempts.Attempts) -> dict[str, str]:
        return {
            const.HEADER_REQUEST_TOKEN: attempts.token,
            const.HEADER_TIMEOUT_MS: str(int(self._settings.timeout_ms)),
            **caller_lookups.authorization(self._settings),
            **attempts.headers(),
        }

    def _now_ms(self) -> float:
        return self._reactor.seconds() * const.MS_PER_S

    def _control(self, exchange: exchanges.Exchange) -> None:
        match exchange.path:
            case '/control/summary':
                exchange.answer_json(self.summary.document())
            case '/control/tokens':
                exchange.answer_json(self.summary.tokens)
            case _:
                raise errors.ControlError(f'{exchange.path}: no such control endpoint')


def _refuse(exchange: exchanges.Exchange) -> None:
    exchange.answer_json({}, const.HTTP_NOT_FOUND)


def _target(settings: caller_models.CallerSettings, path: str) -> str:
    separator = '&' if '?' in path else '?'
    query = f'{separator}size_bytes={settings.size_bytes}'
    return f'/{settings.service}{path}{query}'


def _log(reason: failure.Failure) -> None:
    loguru.logger.error('caller_request_error error={}', reason.getErrorMessage())


def _start(reactor: typing.Any, arguments: argparse.Namespace) -> int:
    settings = caller_models.CallerSettings(
        entry_urls=tuple(arguments.entry),
        service=arguments.service,
        access_key=arguments.key,
        rate_per_s=arguments.rate_per_s,
        post_share=arguments.post_share,
        get_path=arguments.get_path,
        post_path=arguments.post_path,
        timeout_ms=arguments.timeout_ms,
        size_bytes=arguments.size_bytes,
        crash_share=arguments.crash_share,
    )
    caller = Caller(reactor, settings, arguments.name, arguments.seed)
    caller.start()
    duration_s = arguments.duration_ms / const.MS_PER_S
    reactor.callLater(duration_s, lambda: defer.Deferred.fromCoroutine(_finish(reactor, caller)))
    return caller.service.listen(arguments.port)


async def _finish(reactor: typing.Any, caller: Caller) -> None:
    await caller.stop()
    sys.stdout.write(f'{json.dumps(caller.summary.document())}\n')
    sys.stdout.flush()
    reactor.stop()


def main() -> None:
    """Run a caller as a process; it prints its summary at the end."""
    parser = process.parser('caller')
    parser.add_argument('--entry', action='append', required=True, help='URL of an entry instance')
    parser.add_argument('--service', required=True)
    parser.add_argument('--key', default='')
    parser.add_argument('--name', default='caller')
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--duration-ms', type=float, default=const.CALLER_DURATION_MS)
    for option in dataclasses.fields(caller_models.CallerSettings):
        if option.default is not dataclasses.MISSING and option.name != 'access_key':
            flag = f'--{option.name}'.replace('_', '-')
            parser.add_argument(flag, type=type(option.default), default=option.default)
    arguments = parser.parse_args()
    process.run(lambda reactor: _start(reactor, arguments))


if __name__ == '__main__':
    main()
