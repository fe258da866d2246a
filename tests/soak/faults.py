"""Faults and planned changes, drawn by a seed."""

from tests.soak import backends
from tests.soak import models
from tests.soak import proxy

# The first fault comes this long after the callers have begun, the last one within the span.
BEGIN_S = 1.5
SPAN_S = 9.0
# Time to recover after the last planned stop can have ended.
RECOVERY_S = 6.0
_ACTIONS = {
    models.Target.BACKEND: ('crash', 'drain', 'hang', 'silent', 'slow'),
    models.Target.CALLER_LINK: ('delayed', 'reset', 'silent'),
    models.Target.CONFIGURATION: ('add_route', 'revoke', 'storm'),
    models.Target.PEER_LINK: ('delayed', 'drops_answers', 'drops_requests', 'reset', 'silent'),
    models.Target.PROCESS: ('herd_kill', 'kill', 'pause', 'reload', 'stop', 'stop_in_turn'),
    models.Target.STORE: ('compact', 'lose_answers', 'refuse', 'silent'),
    models.Target.STORE_LINK: ('delayed', 'drops_answers', 'drops_requests', 'reset', 'silent'),
}
# Drawn apart from the others, so that a seed keeps the faults that it had before these were added.
_LATER_ACTIONS = {
    models.Target.BACKEND: ('endless_body', 'endless_head'),
    models.Target.PROCESS: ('port_taken',),
    models.Target.SETTINGS: ('away', 'half', 'reload_while_away'),
}
PLANNED = frozenset(
    (
        'add_route',
        'away',
        'drain',
        'half',
        'reload',
        'reload_while_away',
        'revoke',
        'stop',
        'stop_in_turn',
        'storm',
    )
)


def draw(rng):
    """Return the faults of a run, in the order of their times."""
    drawn = [_draw_one(rng, _ACTIONS) for _ in range(rng.randint(3, 8))]
    drawn.extend(_draw_one(rng, _LATER_ACTIONS) for _ in range(rng.randint(0, 3)))
    return sorted(drawn, key=lambda fault: fault.at_s)


def _draw_one(rng, actions):
    target = rng.choice(sorted(actions))
    return models.Fault(
        at_s=BEGIN_S + rng.uniform(0, SPAN_S),
        duration_s=rng.uniform(0.3, 4.0),
        target=target,
        action=rng.choice(actions[target]),
        subject=rng.randrange(1000),
    )


class Injector:
    """Carries faults out on a deployment."""

    def __init__(self, reactor, deployment):
        """Strike nothing yet."""
        self._reactor = reactor
        self._deployment = deployment

    def begin(self, fault):
        """Begin a fault, and end it later."""
        deployment = self._deployment
        now_s = deployment.clock_s()
        if fault.action not in PLANNED:
            trouble = models.Trouble(now_s, now_s + fault.duration_s)
            deployment.ledger.disturbed.append(trouble)
        end = getattr(self, f'_{fault.target.value}')(fault)
        if end is not None:
            self._reactor.callLater(fault.duration_s, end)

    def _backend(self, fault):
        backend = _pick(self._deployment.backends, fault)
        match fault.action:
            case 'crash':
                backend.crash()
                return backend.start
            case 'drain':
                backend.register('draining')
                # The server goes on serving for the drain time and a little longer.
                left_s = models.DRAIN_S + 1.0
                self._reactor.callLater(left_s, backend.crash)
                self._reactor.callLater(left_s + 0.5, backend.start)
                return None
            case 'endless_body' | 'endless_head':
                backend.endless = fault.action
                return lambda: setattr(backend, 'endless', '')
            case 'hang':
                backend.hangs = True
                return lambda: setattr(backend, 'hangs', False)
            case 'slow':
                backend.work_s = backends.SLOW_S
                return lambda: setattr(backend, 'work_s', backends.WORK_S)
        return _disturb(backend.link, proxy.Mode.SILENT)

    def _caller_link(self, fault):
        return _link(_pick(self._deployment.fleet.members, fault).links['caller'], fault)

    def _peer_link(self, fault):
        return _link(_pick(self._deployment.fleet.members, fault).links['peer'], fault)

    def _store_link(self, fault):
        return _link(_pick(self._deployment.fleet.members, fault).store_link, fault)

    def _configuration(self, fault):
        match fault.action:
            case 'add_route':
                self._deployment.operator.add_route()
            case 'revoke':
                self._deployment.operator.revoke()
            case 'storm':
                for number in range(8):
                    self._reactor.callLater(0.1 * number, self._deployment.operator.add_route)

    def _process(self, fault):
        members = self._deployment.fleet.members
        member = _pick(members, fault)
        match fault.action:
            case 'herd_kill':
                for each in members:
                    each.kill()
            case 'kill':
                member.kill()
            case 'pause':
                member.pause()
                return member.resume
            case 'port_taken':
                return member.kill_and_take_port()
            case 'reload':
                member.reload()
            case 'stop':
                member.stop()
            case 'stop_in_turn':
                for order, each in enumerate(members[:3]):
                    self._reactor.callLater(1.2 * order, each.stop)
        return None

    def _settings(self, fault):
        member = _pick(self._deployment.fleet.members, fault)
        restore = member.damage_settings(keep_half=fault.action == 'half')
        if fault.action == 'reload_while_away':
            member.reload()
        return restore

    def _store(self, fault):
        store = self._deployment.store
        match fault.action:
            case 'compact':
                store.database.compacted_revision = store.database.revision
                return None
            case 'lose_answers':
                store.lose_answers = True
                return lambda: setattr(store, 'lose_answers', False)
            case 'refuse':
                store.status = 503
                return lambda: setattr(store, 'status', None)
        store.silent = True
        return lambda: setattr(store, 'silent', False)


def _pick(members, fault):
    return members[fault.subject % len(members)]


def _link(link, fault):
    if fault.action == 'reset':
        link.reset()
        return None
    return _disturb(link, proxy.Mode(fault.action))


def _disturb(link, mode):
    link.mode = mode
    return lambda: setattr(link, 'mode', proxy.Mode.PASSES)
