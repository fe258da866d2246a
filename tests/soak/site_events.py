"""Carries the events of a day out on a deployment."""

from tests.soak import instances
from tests.soak import models
from tests.soak import proxy
from tests.soak import sites

REUSE_S = 2.0
_STORE_DELAY_S = 0.004
# What a server does without an event.
_USUAL = {
    'answers_lost': 0.0,
    'endless': '',
    'failed': 0.0,
    'garbled': 0.0,
    'garbled_how': '',
    'lost_how': '',
    'refused': 0.0,
    'slow_factor': 1.0,
}
_VARIANTS = {'body': 'endless_body', 'head': 'endless_head', 'trailers': 'endless_trailers'}


class Player:
    """Carries out events; each method has the name of a kind."""

    def __init__(self, world):
        """Do nothing yet."""
        self._world = world
        self._rng = world.rng
        self._versions = 1

    def begin(self, event):
        """Begin an event; it ends by itself."""
        getattr(self, f'_{event.kind.value}')(event)

    def _kill(self, event):
        for member in self._some(self._members(), event.share):
            self._power_off(member, event.duration_s)

    def _zone_loss(self, event):
        domain = self._place(event)
        for member in self._members():
            if member.domain == domain:
                self._power_off(member, event.duration_s)
        for each in self._servers(domain=domain):
            each.crash()
            self._world.later(event.duration_s, each.start)

    def _freeze(self, event):
        for member in self._some(self._members(), event.share):
            self._trouble(member, event.duration_s)
            member.pause()
            self._world.later(event.duration_s, member.resume)

    def _roll_term(self, event):
        for order, member in enumerate(self._some(self._members(), event.share)):
            self._world.later(event.gap_s * order, member.stop)

    def _reload(self, event):
        for order, member in enumerate(self._some(self._members(), event.share)):
            self._world.later(event.gap_s * order, member.reload)

    def _core_cut(self, event):
        for member in self._some(self._members(), event.share):
            self._disturb(member, (member.store_link,), event)

    def _store_partly(self, event):
        self._core_cut(event)

    def _node_cut(self, event):
        for member in self._some(self._members(), event.share):
            self._disturb(member, (member.store_link, *member.links.values()), event)

    def _caller_link(self, event):
        for member in self._some(self._members(), event.share):
            self._disturb(member, (member.links['caller'],), event)

    def _lossy(self, event):
        domain = self._place(event)
        for member in self._members():
            if member.domain == domain:
                self._disturb(member, member.links.values(), event, proxy.Mode.DELAYED)

    def _store_down(self, event):
        store = self._world.store
        self._core_trouble(event)
        if event.how == 'silent':
            store.silent = True
        else:
            store.status = 503
            store.cut()
        self._world.later(event.duration_s, store.serve)

    def _store_slow(self, event):
        self._core_trouble(event)
        self._world.store.delay_s = _STORE_DELAY_S * event.rate
        self._world.later(event.duration_s, self._world.store.serve)

    def _store_lost(self, event):
        self._core_trouble(event)
        self._world.store.lost_share = event.rate
        self._world.later(event.duration_s, self._world.store.serve)

    def _store_compact(self, _event):
        database = self._world.store.database
        database.compacted_revision = database.revision

    def _store_restore(self, event):
        self._core_trouble(event)
        store = self._world.store
        store.restore(store.copy())

    def _configure(self, event):
        self._world.operator.change(event.how)

    def _revoke(self, event):
        for order in range(int(event.rate)):
            self._world.later(event.gap_s * order, self._world.operator.revoke)

    def _evacuate(self, event):
        domain = self._place(event)
        self._world.operator.evacuate(domain, event.duration_s)

    def _roll_out(self, event):
        self._versions += 1
        version = f'v{self._versions}'
        old = self._servers(service_id=event.where)
        added = [self._world.add_server(event.where, each.domain, version) for each in old]
        for each in added:
            each.failed = 0.5 if event.how == 'errors' else 0.0
            each.slow_factor = 4.0 if event.how == 'slow' else 1.0
        rollout = models.Rollout(
            event.where, version, event.how != 'good', self._world.clock_s(), event.duration_s
        )
        self._world.operator.roll_out(rollout, old, added)

    def _server_crash(self, event):
        for each in self._some(self._servers(), event.share):
            each.crash()
            self._world.later(event.duration_s, each.start)

    def _server_slow(self, event):
        self._set(event, slow_factor=event.rate)

    def _server_grey(self, event):
        self._set(event, refused=event.rate / 2, failed=event.rate / 2)

    def _answer_lost(self, event):
        self._set(event, answers_lost=event.rate, lost_how=event.how)

    def _garble(self, event):
        self._set(event, garbled=event.rate, garbled_how=event.how)

    def _endless(self, event):
        self._set(event, endless=_VARIANTS[event.how])

    def _cold_return(self, event):
        for each in self._servers(domain=self._place(event)):
            each.crash()
            self._world.later(event.duration_s, each.start)

    def _release(self, event):
        for order, each in enumerate(self._some(self._servers(), event.share)):
            self._world.later(
                event.gap_s * order, lambda left: left.is_up and left.leave(left.start), each
            )

    def _replace_with_reuse(self, event):
        chosen = self._some(self._servers(), event.share)
        for first, second in zip(chosen[::2], chosen[1::2], strict=False):
            first.crash()
            second.crash()
            first.link, second.link = second.link, first.link
            self._world.later(REUSE_S, first.start)
            self._world.later(REUSE_S, second.start)

    def _scale_in(self, event):
        for each in self._some(self._servers(), event.share):
            each.leave()

    def _scale_out(self, event):
        chosen = self._some(self._servers(service_id=event.where), event.share)
        for order, each in enumerate(chosen):
            self._world.later(
                event.gap_s * order,
                self._world.add_server,
                each.service_id,
                each.domain,
                each.version,
            )

    def _burst(self, event):
        self._load(event, burst=event.rate)

    def _shift(self, event):
        traffic = self._world.traffic
        source = self._place(event)
        target = self._rng.choice([domain for domain in sites.DOMAINS if domain != source])
        traffic.shifted[source] = (target, event.share)
        self._world.later(event.duration_s, lambda: traffic.shifted.pop(source, None))

    def _hot_account(self, event):
        number = self._rng.randrange(1, 4)
        share = sites.ACCOUNT_SHARES[number]
        burst = 1 + share * (event.rate - 1)
        keys = self._world.operator.keys[number]
        self._load(event, burst=burst, hot_keys=keys, hot_share=share * event.rate / burst)

    def _retry_abuse(self, event):
        self._behave(event, 'extra_retries', int(event.rate), 0)

    def _give_up(self, event):
        self._behave(event, 'leaves_after', event.rate, None)

    def _behave(self, event, name, during, after):
        for caller in self._some(self._world.traffic.all_callers(), event.share):
            setattr(caller, name, during)
            self._world.later(event.duration_s, lambda each: setattr(each, name, after), caller)

    def _load(self, event, **fields):
        traffic = self._world.traffic
        usual = {'burst': 1.0, 'hot_keys': (), 'hot_share': 0.0}
        vars(traffic).update(fields)
        self._world.later(
            event.duration_s, lambda: vars(traffic).update({name: usual[name] for name in fields})
        )

    def _set(self, event, **fields):
        for each in self._some(self._servers(service_id=event.where), event.share):
            usual = {name: _USUAL[name] for name in fields}
            vars(each).update(fields)
            self._world.later(event.duration_s, vars(each).update, usual)

    def _disturb(self, member, links, event, mode=proxy.Mode.SILENT):
        self._trouble(member, event.duration_s)
        for link in links:
            link.mode = proxy.Mode.RESETS if event.how == 'reset' else mode
            if event.how == 'reset':
                link.reset()
            self._world.later(
                event.duration_s, lambda each: setattr(each, 'mode', proxy.Mode.PASSES), link
            )

    def _power_off(self, member, down_s):
        self._trouble(member, down_s + 2 * instances.RESTART_S)
        member.power_off(down_s)

    def _trouble(self, member, duration_s):
        now_s = self._world.clock_s()
        found = models.Trouble(now_s, now_s + duration_s, member.number)
        self._world.ledger.disturbed.append(found)

    def _core_trouble(self, event):
        now_s = self._world.clock_s()
        found = models.Trouble(now_s, now_s + event.duration_s, is_core=True)
        self._world.ledger.disturbed.append(found)

    def _place(self, event):
        return event.where or self._rng.choice(sites.DOMAINS)

    def _members(self):
        return self._world.fleet.members

    def _servers(self, service_id='', domain=''):
        return [
            each
            for each in self._world.servers
            if each.is_up
            and not each.is_leaving
            and service_id in {'', each.service_id}
            and domain in {'', each.domain}
        ]

    def _some(self, members, share):
        count = min(len(members), max(1, round(share * len(members))))
        return self._rng.sample(members, count)
