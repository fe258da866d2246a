"""Play the soak by hand: ``python -m tests.soak --first 1 --seeds 50``."""

import argparse
import asyncio
import pathlib
import random
import sys

from twisted.internet import asyncioreactor
from twisted.internet import defer


def main():
    """Play the seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='script/soak', description=__doc__)
    parser.add_argument('--first', type=int, help='first seed; drawn and printed if omitted')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--logs', type=pathlib.Path, help='keep the logs of failed seeds here')
    arguments = parser.parse_args()
    first = arguments.first
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    asyncioreactor.install(asyncio.new_event_loop())
    from twisted.internet import reactor

    failed = []
    played = defer.Deferred.fromCoroutine(_play(reactor, first, arguments, failed))
    played.addErrback(lambda reason: _report(reason, failed))
    played.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return 1 if failed else 0


async def _play(reactor, first, arguments, failed):
    from tests.soak import deployment

    for seed in range(first, first + arguments.seeds):
        folder = None
        if arguments.logs is not None:
            folder = arguments.logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        schedule, found, count = await deployment.play(reactor, seed, folder)
        print(f'seed {seed}: {count} requests, {len(found)} broken promises', flush=True)
        if not found:
            _remove(folder)
            continue
        failed.append(seed)
        for fault in schedule:
            print(f'  {fault}')
        for line in found[:20]:
            print(f'  {line}', flush=True)


def _report(reason, failed):
    failed.append('error')
    reason.printTraceback(sys.stderr)


def _remove(folder):
    if folder is not None:
        for log in folder.iterdir():
            log.unlink()
        folder.rmdir()


sys.exit(main())
