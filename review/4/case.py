"""Clients send bodies that the configuration allows; the process exceeds its memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins

REGIONS = {'almaty-a': 'almaty', 'astana-a': 'astana'}
KEY = 'tnfzs989anu6wsjnbanf'
BODY_MAX = 67_108_864
BODY_BYTES = 60_000_000
UPLOADS = 3
LINK_BYTES_PER_S = 125_000_000
CLIENTS = 20
assert BODY_BYTES <= BODY_MAX


async def client(gateway, deployment, ended, stop):
    """Send one request after the other on a kept connection; note how each ends."""
    record = deployment.record
    connection = await standins.Connection(gateway, record).open()
    while not stop.is_set():
        attempt_id = f'{gateway.name}-{len(ended):05d}'
        ended[attempt_id] = None
        ended[attempt_id] = await connection.ask(attempt_id, 'POST', '/xapu221/2f', KEY, b'{}')
        if not ended[attempt_id]:
            await asyncio.sleep(0.2)
            try:
                connection = await standins.Connection(gateway, record).open()
            except OSError:
                return
    connection.close()


async def send_body(gateway, deployment, number):
    """Send a request with a large body; all of them together use the rate of the link."""
    record = deployment.record
    connection = await standins.Connection(gateway, record).open()
    head = (
        f'POST /xapu221/2f HTTP/1.1\r\nHost: {standins.HOST_NAME}\r\n'
        f'X-Rhubarbspar-Attempt-Id: upload-{number}\r\nX-Rhubarbspar-Deadline-Ms: 3000\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n'
    )
    begun = record.now()
    try:
        connection.writer.write(head.encode())
        part, sent = bytes(500_000), 0
        while sent < BODY_BYTES:
            size = min(len(part), BODY_BYTES - sent)
            connection.writer.write(part[:size])
            sent += size
            await connection.writer.drain()
            await asyncio.sleep(max(0, begun + sent * UPLOADS / LINK_BYTES_PER_S - record.now()))
        record.line(f'upload-{number} is sent')
        message = await asyncio.wait_for(connection.receive(), 5)
        status = 0 if message is None else message.first[1]
    except (OSError, TimeoutError) as error:
        status = repr(error)
    record.say(f'upload-{number} of {BODY_BYTES} bytes ends with {status}')


async def play(deployment):
    record, store = deployment.record, deployment.store
    routes = [('r-2', '/xapu221/', 'unsafe', 'commissions', '2000ms')]
    document = standins.configuration(7, routes, ['commissions'], [KEY], BODY_MAX)
    store.put_json('op/config', document)
    for zone in REGIONS:
        for number in range(3):
            await deployment.add_upstream(f'i-{zone}-{number}', 'commissions', zone, work_s=0.3)
    for zone in REGIONS:
        deployment.add_gateway(f'front-{zone}-1', zone, REGIONS, standins.MEMORY_MB).start()
    for gateway in deployment.gateways:
        await gateway.until_ready()
    await asyncio.sleep(5)
    stop, ended = asyncio.Event(), {}
    struck = deployment.gateways[0]
    clients = [
        asyncio.create_task(client(struck, deployment, ended, stop)) for _ in range(CLIENTS)
    ]
    await asyncio.sleep(5)
    if standins.TROUBLE:
        await asyncio.gather(*(send_body(struck, deployment, n) for n in range(UPLOADS)))
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*clients)
    for gateway in deployment.gateways:
        record.say(f'{gateway.name} used {gateway.peak_mb:.0f} MB at most, exits {gateway.exits}')
    ran = {attempt_id for each in deployment.upstreams for _, attempt_id, _ in each.runs}
    lost = [each for each, status in ended.items() if status == 0 and each in ran]
    record.say(f'{len(ended)} requests; {len(lost)} were passed on and got no answer')
    return standins.BROKEN if len(lost) > 3 else standins.HELD


standins.run(pathlib.Path(__file__).parent, play)
