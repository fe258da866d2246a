"""The deployment whose operators reported the incident: its figures and its standard days."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """What happens at a time of a day."""

    ANSWER_LOST = 'answer_lost'
    BURST = 'burst'
    CALLER_LINK = 'caller_link'
    COLD_RETURN = 'cold_return'
    CONFIGURE = 'configure'
    CORE_CUT = 'core_cut'
    ENDLESS = 'endless'
    EVACUATE = 'evacuate'
    FREEZE = 'freeze'
    GARBLE = 'garble'
    GIVE_UP = 'give_up'
    HOT_ACCOUNT = 'hot_account'
    KILL = 'kill'
    LOSSY = 'lossy'
    NODE_CUT = 'node_cut'
    RELEASE = 'release'
    RELOAD = 'reload'
    REPLACE_WITH_REUSE = 'replace_with_reuse'
    RETRY_ABUSE = 'retry_abuse'
    REVOKE = 'revoke'
    ROLL_OUT = 'roll_out'
    ROLL_TERM = 'roll_term'
    SCALE_IN = 'scale_in'
    SCALE_OUT = 'scale_out'
    SERVER_CRASH = 'server_crash'
    SERVER_GREY = 'server_grey'
    SERVER_SLOW = 'server_slow'
    SHIFT = 'shift'
    STORE_COMPACT = 'store_compact'
    STORE_DOWN = 'store_down'
    STORE_LOST = 'store_lost'
    STORE_PARTLY = 'store_partly'
    STORE_RESTORE = 'store_restore'
    STORE_SLOW = 'store_slow'
    ZONE_LOSS = 'zone_loss'


@dataclasses.dataclass(frozen=True)
class Event:
    """A disruption or a planned change.

    Attributes
    ----------
    at_s
        Time after the begin of the load.
    share
        Share of the processes, servers or callers that it concerns.
    rate
        Factor of a load or a delay, or the share of the responses that are concerned.
    how
        A variant that the kind knows.
    where
        Failure domain, or service; drawn if empty.
    """

    at_s: float
    kind: Kind
    duration_s: float = 4.0
    share: float = 0.15
    rate: float = 1.0
    gap_s: float = 1.0
    how: str = ''
    where: str = ''


@dataclasses.dataclass(frozen=True)
class Route:
    """A kind of request."""

    service_id: str
    path: str
    idempotent: bool
    is_pipelined: bool
    rate_per_s: float
    work_s: float
    deadline_s: float
    timeout_s: float
    objective_s: float
    priority: int
    body_bytes: int


# Two instances in each of the first two domains, one in the others.
DOMAINS = ('almaty-a', 'astana-a', 'aktobe-a', 'almaty-b', 'astana-b', 'aktobe-b')
INSTANCE_DOMAINS = ('almaty-a', 'almaty-a', 'astana-a', 'astana-a', *DOMAINS[2:])
# Servers of each service, by domain.
SERVERS = (1, 2, 3, 1, 2, 3)
WAVE_PHASES = (0.0, 0.33, 0.67, 0.0, 0.33, 0.67)
WAVE_SWING = 0.55
WAVE_PERIOD_S = 36.0
CALLERS_PER_DOMAIN = 30
ROUTES = (
    Route('stockbook', '/stock/', True, True, 160.0, 0.24, 1.2, 1.0, 0.25, 2, 5000),
    Route('commissions', '/orders/', False, False, 58.4, 0.312, 1.5, 1.2, 0.3, 1, 1500),
    Route('ordertrack', '/status/', True, False, 55.3, 0.6, 3.0, 2.0, 0.5, 2, 400),
)
SLOTS = 3
QUEUE_PER_SLOT = 3
CONNECTIONS_MAX = 330
SERVER_IDLE_S = 10.0
COLD_S = 3.0
COLD_FACTOR = 2.0
COLD_RATE_PER_S = 7.3
HEARTBEAT_S = 1.5
# Shares of the requests by account; an account may ask for this much more than its share.
ACCOUNT_SHARES = (0.34, 0.24, 0.14, 0.1, 0.07, 0.05, 0.03, 0.03)
QUOTA_FACTOR = 1.6
QUOTA_WINDOW_S = 5.0
MEMORY_MB = 300
DESCRIPTORS_MAX = 4100
LEAD_S = 10.0
DAY_S = 32.0
_LAST_S = 6.0

_DAYS = (
    (
        Event(0.5, Kind.SHIFT, 7.0, 0.75, where='almaty-b'),
        Event(1.12, Kind.CONFIGURE),
        Event(1.5, Kind.CONFIGURE, how='quota'),
        Event(9.5, Kind.SHIFT, 7.0, 0.73, where='astana-a'),
        Event(17.0, Kind.SHIFT, 2.0, 0.77, where='almaty-b'),
        Event(21.0, Kind.SCALE_OUT, share=0.3, gap_s=0.5, where='stockbook'),
        Event(23.8, Kind.CONFIGURE),
    ),
    (
        Event(0.3, Kind.REVOKE, rate=3, gap_s=0.1),
        Event(0.5, Kind.ANSWER_LOST, 4.0, 1.0, 0.06, how='reset'),
        Event(2.5, Kind.STORE_PARTLY, 9.0, 0.35),
        Event(5.0, Kind.REPLACE_WITH_REUSE, share=0.35),
        Event(9.0, Kind.SHIFT, 7.0, 0.72, where='aktobe-b'),
        Event(15.0, Kind.ANSWER_LOST, 4.0, 0.6, 0.4, how='reset'),
        Event(15.0, Kind.RETRY_ABUSE, 4.0, 0.3, 3.0),
        Event(15.5, Kind.EVACUATE, 9.0, where='aktobe-a'),
        Event(16.2, Kind.EVACUATE, 8.1, where='astana-b'),
        Event(17.5, Kind.NODE_CUT, 8.0, 0.3, how='reset'),
        Event(21.0, Kind.COLD_RETURN, 2.0, where='aktobe-b'),
        Event(22.5, Kind.BURST, 5.0, rate=1.4),
        Event(23.8, Kind.CONFIGURE, how='quota'),
        Event(23.8, Kind.SCALE_IN, share=0.14),
    ),
    (
        Event(1.0, Kind.STORE_COMPACT),
        Event(1.19, Kind.ROLL_OUT, 15.0, how='good', where='stockbook'),
        Event(1.3, Kind.EVACUATE, 9.0, where='almaty-b'),
        Event(1.3, Kind.REVOKE, rate=2, gap_s=0.3),
        Event(9.51, Kind.SERVER_CRASH, 3.8, 0.1),
        Event(9.51, Kind.RETRY_ABUSE, 4.2, 0.27, 2.7),
        Event(10.8, Kind.HOT_ACCOUNT, 6.1, rate=6.9),
        Event(12.1, Kind.GARBLE, 5.0, 0.6, 0.03, how='late', where='stockbook'),
        Event(13.0, Kind.SERVER_GREY, 8.5, 1.0, 0.55, where='stockbook'),
        Event(21.4, Kind.EVACUATE, 60.0, where='astana-b'),
        Event(22.4, Kind.CONFIGURE),
        Event(22.4, Kind.SCALE_IN, share=0.14),
        Event(24.5, Kind.REVOKE, rate=4, gap_s=0.3),
        Event(24.6, Kind.SHIFT, 4.5, 0.81, where='aktobe-a'),
        Event(24.9, Kind.SCALE_IN, share=0.14),
        Event(25.0, Kind.CONFIGURE, how='route'),
        Event(27.4, Kind.ROLL_TERM, share=0.3, gap_s=1.14),
    ),
    (
        Event(1.0, Kind.ROLL_TERM, share=1.0, gap_s=2.0),
        Event(19.0, Kind.GIVE_UP, 4.0, 0.3, 0.25),
        Event(19.0, Kind.SERVER_SLOW, 9.0, 0.4, 12.0),
        Event(19.0, Kind.ANSWER_LOST, 6.0, 0.6, 0.3),
        Event(19.0, Kind.GARBLE, 5.0, 1.0, 0.05, how='unframed'),
        Event(19.0, Kind.STORE_SLOW, 3.3, rate=87.0),
        Event(23.0, Kind.GIVE_UP, 5.0, 0.3, 0.9),
        Event(23.8, Kind.CONFIGURE, how='timeout'),
        Event(23.8, Kind.SCALE_IN, share=0.11),
    ),
    (
        Event(1.0, Kind.NODE_CUT, 12.0, 0.35),
        Event(2.0, Kind.ROLL_OUT, 14.0, 0.32, how='errors', where='stockbook'),
        Event(2.0, Kind.REVOKE, rate=3, gap_s=0.4),
        Event(4.0, Kind.SCALE_IN, share=0.2),
        Event(4.3, Kind.BURST, 2.7, rate=1.8),
        Event(5.3, Kind.ANSWER_LOST, 4.0, 0.5, 0.05, how='reset', where='commissions'),
        Event(7.0, Kind.STORE_COMPACT),
        Event(17.3, Kind.CONFIGURE, how='quota'),
        Event(17.3, Kind.SCALE_IN, share=0.09),
        Event(19.5, Kind.SHIFT, 4.5, 0.67, where='astana-a'),
        Event(22.5, Kind.STORE_PARTLY, 8.0, 0.35),
        Event(23.9, Kind.CONFIGURE, how='route'),
        Event(26.0, Kind.REPLACE_WITH_REUSE, share=0.15),
    ),
    (
        Event(1.0, Kind.HOT_ACCOUNT, 8.0, rate=2.9),
        Event(2.0, Kind.ROLL_OUT, 14.0, how='good', where='stockbook'),
        Event(3.29, Kind.ANSWER_LOST, 5.5, 0.44, 0.013),
        Event(3.39, Kind.COLD_RETURN, 4.0, where='aktobe-a'),
        Event(3.39, Kind.REPLACE_WITH_REUSE, share=0.25),
        Event(5.02, Kind.EVACUATE, 8.3, where='aktobe-a'),
        Event(5.8, Kind.EVACUATE, 9.0, where='astana-b'),
        Event(6.8, Kind.GIVE_UP, 6.66, 0.28, 0.25),
        Event(9.0, Kind.HOT_ACCOUNT, 8.0, rate=4.4),
        Event(10.4, Kind.GARBLE, 5.0, 0.6, 0.03, how='late', where='commissions'),
        Event(13.0, Kind.KILL, 1.0, 1.0),
        Event(14.2, Kind.SCALE_IN, share=0.13),
        Event(18.0, Kind.STORE_DOWN, 4.5, how='reset'),
        Event(18.3, Kind.SCALE_IN, share=0.12),
        Event(18.6, Kind.ROLL_TERM, share=0.25),
        Event(20.2, Kind.CONFIGURE),
        Event(22.4, Kind.SHIFT, 4.5, 0.74, where='astana-a'),
    ),
)
# What a day gets besides its own events, at drawn times.
_DRAWN = (
    Event(0, Kind.ANSWER_LOST, 5.5, 0.45, 0.025),
    Event(0, Kind.BURST, 3.0, rate=1.7),
    Event(0, Kind.CALLER_LINK, 2.0, how='reset'),
    Event(0, Kind.CALLER_LINK, 2.0, how='silent'),
    Event(0, Kind.COLD_RETURN, 4.5, where='astana-a'),
    Event(0, Kind.CONFIGURE, how='quota'),
    Event(0, Kind.CONFIGURE, how='route'),
    Event(0, Kind.CORE_CUT, 5.5, how='reset'),
    Event(0, Kind.ENDLESS, 6.0, 0.3, how='body'),
    Event(0, Kind.ENDLESS, 6.0, 0.3, how='head'),
    Event(0, Kind.ENDLESS, 6.0, 0.3, how='trailers'),
    Event(0, Kind.EVACUATE, 8.0, where='astana-b'),
    Event(0, Kind.FREEZE, 4.0, 0.12),
    Event(0, Kind.GARBLE, 5.5, 0.35, 0.02, how='extra'),
    Event(0, Kind.KILL, 2.0, 0.55),
    Event(0, Kind.KILL, 3.5, 0.12),
    Event(0, Kind.LOSSY, 5.5, where='astana-a'),
    Event(0, Kind.NODE_CUT, 5.5, 0.17),
    Event(0, Kind.RELEASE, share=0.45),
    Event(0, Kind.RELOAD, share=1.0, gap_s=0.4),
    Event(0, Kind.ROLL_OUT, 16.0, 0.5, how='slow', where='stockbook'),
    Event(0, Kind.ROLL_TERM, share=0.45, gap_s=1.3),
    Event(0, Kind.ROLL_TERM, share=0.45, gap_s=0.2),
    Event(0, Kind.SCALE_OUT, share=0.25, gap_s=2.0),
    Event(0, Kind.SERVER_CRASH, 4.5, 0.14),
    Event(0, Kind.SERVER_GREY, 6.5, 0.14, 0.45),
    Event(0, Kind.SERVER_SLOW, 6.5, 0.16, 5.0),
    Event(0, Kind.STORE_DOWN, 4.5, how='reset'),
    Event(0, Kind.STORE_DOWN, 4.5, how='silent'),
    Event(0, Kind.STORE_LOST, 4.5, rate=0.35),
    Event(0, Kind.STORE_RESTORE),
    Event(0, Kind.STORE_SLOW, 4.5, rate=60.0),
    Event(0, Kind.ZONE_LOSS, 5.5),
)


def draw(rng, seed, day_s=DAY_S):
    """Return the events of a day in the order of their times: its own, and a few drawn ones."""
    drawn = [
        dataclasses.replace(event, at_s=round(rng.uniform(1.0, day_s - _LAST_S), 2))
        for event in rng.sample(_DRAWN, rng.randint(2, 7))
    ]
    own = (event for event in _DAYS[seed % len(_DAYS)] if event.at_s < day_s - _LAST_S / 2)
    return sorted((*own, *drawn), key=lambda event: event.at_s)
