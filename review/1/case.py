"""A planned stop, while the only upstream of a service takes long over a request."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins

REGIONS = {'almaty-a': 'almaty', 'astana-a': 'astana'}
KEY = 'tnfzs989anu6wsjnbanf'
# status-check takes up to 1800 ms at an upstream; its route's timeout is 2000 ms.
WORK_S = 1.6
REQUESTS = 3


async def ask(gateway, deployment, number, answers):
    connection = await standins.Connection(gateway, deployment.record).open()
    attempt_id = f'status-{number}'
    asked = deployment.record.now()
    status = await connection.ask(attempt_id, 'GET', '/hucu512/2f', KEY, deadline_ms=3000)
    answers[attempt_id] = (asked, deployment.record.now(), status)
    connection.close()


async def play(deployment):
    record, store = deployment.record, deployment.store
    routes = [('r-3', '/hucu512/', 'safe', 'ordertrack', '2000ms')]
    document = standins.configuration(7, routes, ['ordertrack'], [KEY], objective='500ms')
    store.put_json('op/config', document)
    upstream = await deployment.add_upstream('i-1', 'ordertrack', 'almaty-a', work_s=0.6, slots=3)
    for zone in REGIONS:
        deployment.add_gateway(f'front-{zone}-1', zone, REGIONS).start()
    for gateway in deployment.gateways:
        await gateway.until_ready()
    await asyncio.sleep(5)
    stopped = deployment.gateways[0]
    for number in range(5):
        await ask(stopped, deployment, f'before-{number}', {})
    upstream.work_s = WORK_S
    answers = {}
    asking = [
        asyncio.create_task(ask(stopped, deployment, number, answers)) for number in range(REQUESTS)
    ]
    await asyncio.sleep(0.3)
    if standins.TROUBLE:
        stopped.keep_running = False
        stopped.send(signal.SIGTERM)
    await asyncio.gather(*asking)
    lost = 0
    for attempt_id, (asked, ended, status) in sorted(answers.items()):
        record.say(f'{attempt_id} was answered {status} after {ended - asked:.3f} s')
        arrived = [at for at, found, _ in upstream.runs if found == attempt_id]
        at_work = arrived and arrived[0] + WORK_S > ended
        early = ended - asked < 1.9
        lost += bool(standins.TROUBLE and status != 200 and at_work and early)
    record.say(f'{lost} requests were broken off after the SIGTERM while their upstream worked')
    return standins.BROKEN if lost else standins.HELD


standins.run(pathlib.Path(__file__).parent, play)
