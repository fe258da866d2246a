"""Play the soak by hand: ``python -m tests.soak --first 1 --seeds 50``."""

import argparse
import collections
import pathlib
import random
import sys

from twisted.internet import defer


def main():
    """Play the seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='script/soak', description=__doc__)
    parser.add_argument('--first', type=int, help='first seed; drawn and printed if omitted')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--site', action='store_true', help="play the operators' deployment")
    parser.add_argument('--rate', type=float, default=0.25, help='share of the rates of the site')
    parser.add_argument(
        '--day', type=float, default=32.0, help='length of a day of the site, seconds'
    )
    parser.add_argument('--tree', type=pathlib.Path, help='play the gateways of another checkout')
    parser.add_argument('--logs', type=pathlib.Path, help='keep the logs of failed seeds here')
    arguments = parser.parse_args()
    first = arguments.first
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    from twisted.internet import reactor

    failed = []
    played = defer.Deferred.fromCoroutine(_play(reactor, first, arguments, failed))
    played.addErrback(lambda reason: _report(reason, failed))
    played.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return 1 if failed else 0


async def _play(reactor, first, arguments, failed):
    from tests.soak import deployment
    from tests.soak import instances
    from tests.soak import site_deployment

    tree = (arguments.tree or instances.ROOT).resolve()
    for seed in range(first, first + arguments.seeds):
        folder = None
        if arguments.logs is not None:
            folder = arguments.logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        if arguments.site:
            options = site_deployment.Options(arguments.rate, tree, arguments.day)
            played = site_deployment.play(reactor, seed, folder, options)
        else:
            played = deployment.play(reactor, seed, folder, tree)
        schedule, found, count = await played
        counted = collections.Counter(line.partition(':')[0] for line in found)
        rules = ', '.join(f'{rule} {times}' for rule, times in sorted(counted.items()))
        print(f'seed {seed}: {count}, {len(found)} broken promises {rules}'.rstrip(), flush=True)
        if not found:
            _remove(folder)
            continue
        failed.append(seed)
        lines = [*(str(fault) for fault in schedule), *found]
        if folder is not None:
            (folder / 'found.txt').write_text('\n'.join(lines))
        for line in (*lines[: len(schedule)], *found[:20]):
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
