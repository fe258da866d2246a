"""An upstream in trouble sends a head without end; the process exceeds its memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins

REGIONS = {'almaty-a': 'almaty', 'astana-a': 'astana'}
KEY = 'tnfzs989anu6wsjnbanf'
CLIENTS = 20
# The rate of the machine's link.
LINK_BYTES_PER_S = 125_000_000
PART = (b'x: ' + b'y' * 40 + b'\r\n') * 2_000
TROUBLE_S = 10.0


async def client(gateway, deployment, ended, stop):
    """Send one request after the other on a kept connection; note how each ends."""
    record = deployment.record
    connection = await standins.Connection(gateway, record).open()
    while not stop.is_set():
        attempt_id = f'{gateway.name}-{len(ended):05d}'
        ended[attempt_id] = None
        ended[attempt_id] = await connection.ask(
            attempt_id, 'GET', '/hucu512/2f', KEY, deadline_ms=3000
        )
        if not ended[attempt_id]:
            connection.close()
            await asyncio.sleep(0.2)
            try:
                connection = await standins.Connection(gateway, record).open()
            except OSError:
                return
    connection.close()


def spoil_one_answer(upstream, record):
    """Let the upstream spoil its next answer."""

    async def answer(request, writer):
        upstream.answer = None
        attempt_id = request.header('x-rhubarbspar-attempt-id')
        record.say(f'{upstream.server_id} answers {attempt_id} with a head without end')
        writer.write(f'HTTP/1.1 200 OK\r\nX-Rhubarbspar-Attempt-Id: {attempt_id}\r\n'.encode())
        begun, sent = record.now(), 0
        try:
            while record.now() - begun < TROUBLE_S:
                writer.write(PART)
                sent += len(PART)
                await writer.drain()
                await asyncio.sleep(max(0, begun + sent / LINK_BYTES_PER_S - record.now()))
        except OSError:
            pass
        record.say(f'the caller closed after {sent / 1e6:.1f} MB, {record.now() - begun:.3f} s')
        return True

    upstream.answer = answer


async def play(deployment):
    record, store = deployment.record, deployment.store
    routes = [('r-3', '/hucu512/', 'safe', 'ordertrack', '2000ms')]
    document = standins.configuration(7, routes, ['ordertrack'], [KEY], objective='500ms')
    store.put_json('op/config', document)
    for zone in REGIONS:
        for number in range(3):
            await deployment.add_upstream(f'i-{zone}-{number}', 'ordertrack', zone, work_s=0.6)
    for zone in REGIONS:
        deployment.add_gateway(f'front-{zone}-1', zone, REGIONS, standins.MEMORY_MB).start()
    for gateway in deployment.gateways:
        await gateway.until_ready()
    await asyncio.sleep(5)
    stop, ended = asyncio.Event(), {}
    struck = deployment.gateways[0]
    clients = [asyncio.create_task(client(struck, deployment, ended, stop)) for _ in range(CLIENTS)]
    await asyncio.sleep(5)
    if standins.TROUBLE:
        spoil_one_answer(deployment.upstreams[0], record)
    await asyncio.sleep(8)
    stop.set()
    await asyncio.gather(*clients)
    for gateway in deployment.gateways:
        record.say(f'{gateway.name} used {gateway.peak_mb:.0f} MB at most, exits {gateway.exits}')
    ran = {attempt_id for each in deployment.upstreams[1:] for _, attempt_id, _ in each.runs}
    lost = [each for each, status in ended.items() if status == 0 and each in ran]
    record.say(f'{len(ended)} requests; {len(lost)}, passed on to sound upstreams, got no answer')
    return standins.BROKEN if len(lost) > 3 else standins.HELD


standins.run(pathlib.Path(__file__).parent, play)
