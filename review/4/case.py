"""A planned restart of one machine, while upstreams leave: other machines keep using them."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins

REGIONS = {'almaty-a': 'almaty', 'almaty-b': 'almaty', 'astana-a': 'astana'}
MACHINES = {
    'front-almaty-a-1': 'almaty-a',
    'front-almaty-a-2': 'almaty-a',
    'front-almaty-b-1': 'almaty-b',
    'front-astana-a-1': 'astana-a',
}
KEY = 'tnfzs989anu6wsjnbanf'
UPSTREAMS = 24
ROUNDS = 8
# No round begins later than this after the start.
LAST_ROUND_S = 85.0
# Upstreams that are taken away at a time.
LEAVING = 2
CLIENTS = 4
# How long an upstream serves on after its entry was removed.
SERVES_ON_S = 4.5


async def client(gateway, deployment, sent, stop):
    """Send one safe request after the other on a kept connection."""
    record = deployment.record
    connection = await standins.Connection(gateway, record).open()
    while not stop.is_set():
        attempt_id = f'{gateway.name}-{len(sent):05d}'
        sent[attempt_id] = record.now()
        if not await connection.ask(attempt_id, 'GET', '/lepu270/2f', KEY):
            connection = await standins.Connection(gateway, record).open()
    connection.close()


async def play(deployment):
    record, store = deployment.record, deployment.store
    routes = [('r-1', '/lepu270/', 'safe', 'stockbook', '1000ms')]
    store.put_json('op/config', standins.configuration(7, routes, ['stockbook'], [KEY]))
    zones = list(REGIONS)
    for number in range(UPSTREAMS):
        zone = zones[number % len(zones)]
        await deployment.add_upstream(f'i-{number:02d}', 'stockbook', zone, work_s=0.1, slots=3)
        await asyncio.sleep(standins.HEARTBEAT_S / UPSTREAMS)
    for name, zone in MACHINES.items():
        deployment.add_gateway(name, zone, REGIONS).start()
    for gateway in deployment.gateways:
        await gateway.until_ready()
    await asyncio.sleep(5)
    # Of the machines of almaty, this one follows the store; the others are never touched.
    restarted, calm = deployment.gateways[0], deployment.gateways[1:3]
    stop, sent, removed = asyncio.Event(), {}, {}
    clients = [
        asyncio.create_task(client(gateway, deployment, sent, stop))
        for gateway in calm
        for _ in range(CLIENTS)
    ]
    remaining = list(deployment.upstreams)

    def scale_in():
        """Take upstreams away; these never report draining: their entries are removed."""
        store.on_range = lambda: None
        for _ in range(LEAVING):
            leaving = remaining.pop()
            leaving.stop_beats()
            store.delete(f'servers/{leaving.server_id}')
            removed[leaving.server_id] = record.now()
            record.line(f'the entry of {leaving.server_id} is removed')
            asyncio.get_running_loop().call_later(SERVES_ON_S, leaving.close)

    for _ in range(ROUNDS):
        if record.now() > LAST_ROUND_S:
            # The processes start slowly here; the rounds so far have to do.
            break
        left = len(remaining)
        if standins.TROUBLE:
            # The upstreams leave when the machine is back and begins to read the store.
            store.on_range = scale_in
            restarted.send(signal.SIGTERM)
            while len(remaining) == left:
                await asyncio.sleep(0.01)
        else:
            await asyncio.sleep(4)
            scale_in()
        await asyncio.sleep(SERVES_ON_S)
    stop.set()
    await asyncio.gather(*clients)
    late = [
        (upstream.server_id, attempt_id)
        for upstream in deployment.upstreams
        if upstream.server_id in removed
        for _, attempt_id, _ in upstream.runs
        if sent[attempt_id] > removed[upstream.server_id] + standins.BOUNDS['drain']
    ]
    record.say(
        f'{len(sent)} requests were sent to {len(calm)} machines, {len(removed)} upstreams left'
    )
    for server_id in sorted({server_id for server_id, _ in late}):
        count = sum(each == server_id for each, _ in late)
        record.say(f'{server_id} got {count} requests that were sent over 2.5 s after it had left')
    return standins.BROKEN if late else standins.HELD


standins.run(pathlib.Path(__file__).parent, play)
