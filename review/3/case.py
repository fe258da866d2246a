"""Two unreadable entries of another writer, then a new configuration."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins

REGIONS = {'almaty-a': 'almaty', 'almaty-b': 'almaty', 'astana-a': 'astana', 'astana-b': 'astana'}
KEPT, REVOKED = 'tnfzs989anu6wsjnbanf', 'qasnmgkcuyj8pjbvk9m6'
# Bytes of each entry of the other writer; the store takes up to valueBytes.
ENTRY_BYTES = 600_000
ENTRIES = 2
assert ENTRY_BYTES <= standins.VALUE_BYTES_MAX
ASKED_S = 6.0


def routes(service):
    return [
        ('r-1', '/lepu270/', 'safe', 'stockbook', '1000ms'),
        ('r-2', '/xapu221/', 'unsafe', service, '1200ms'),
    ]


async def client(gateway, deployment, sent, stop):
    """Ask for the moved route with the kept key and for the other one with the revoked key."""
    record = deployment.record
    connection = await standins.Connection(gateway, record).open()
    while not stop.is_set():
        for method, path, key in (('POST', '/xapu221/2f', KEPT), ('GET', '/lepu270/2f', REVOKED)):
            attempt_id = f'{gateway.name}-{len(sent):05d}'
            sent[attempt_id] = (record.now(), gateway.name, key)
            if not await connection.ask(attempt_id, method, path, key):
                connection = await standins.Connection(gateway, record).open()
        await asyncio.sleep(0.1)
    connection.close()


async def play(deployment):
    record, store = deployment.record, deployment.store
    services = ['stockbook', 'commissions', 'ordertrack']
    keys = [KEPT, REVOKED]
    store.put_json('op/config', standins.configuration(7, routes('commissions'), services, keys))
    for service in services:
        for zone in REGIONS:
            await deployment.add_upstream(f'i-{service}-{zone}', service, zone)
    for zone in REGIONS:
        deployment.add_gateway(f'front-{zone}-1', zone, REGIONS).start()
    for gateway in deployment.gateways:
        await gateway.until_ready()
    await asyncio.sleep(6)
    stop, sent = asyncio.Event(), {}
    clients = [
        asyncio.create_task(client(gateway, deployment, sent, stop))
        for gateway in deployment.gateways
    ]
    await asyncio.sleep(2)
    if standins.TROUBLE:
        for number in range(ENTRIES):
            store.put(f'servers/i-other-{number}', os.urandom(ENTRY_BYTES))
        record.say(f'{ENTRIES} entries of {ENTRY_BYTES} unreadable bytes are written')
    await asyncio.sleep(5)
    # The route moves to another service, and a key is taken away.
    store.put_json('op/config', standins.configuration(9, routes('ordertrack'), services, [KEPT]))
    changed = record.now()
    record.say(f'r9 is acknowledged at {changed:.3f}')
    await asyncio.sleep(standins.BOUNDS['configApply'] + ASKED_S)
    stop.set()
    await asyncio.gather(*clients)
    due = changed + standins.BOUNDS['configApply']
    broken = {}
    for upstream in deployment.upstreams:
        for _, attempt_id, _ in upstream.runs:
            asked, name, key = sent[attempt_id]
            if asked > due and (key == REVOKED or upstream.service == 'commissions'):
                broken.setdefault(name, []).append(attempt_id)
    late = sum(asked > due for asked, _, _ in sent.values())
    record.say(f'{late} requests were sent later than configApply after r9')
    for name, found in sorted(broken.items()):
        record.say(f'{name}: {len(found)} of them were run as only r7 allows')
    return standins.BROKEN if broken else standins.HELD


standins.run(pathlib.Path(__file__).parent, play)
