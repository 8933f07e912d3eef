"""A request that crashes targets is sent again and again if its caller leaves before the crash."""
import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / 'common'), str(HERE.parent / 'common-2')]
from guard import main
from stand_in import (BROKEN, HELD, NOT_RUN, TROUBLE, Client, Fleet, Store, Target, config, now, route, tenant)

CONTACT_S = 4.0
MOST_RETRIES = 3
# Half of the objective of the route, as in `give_up`.
LEAVES_AFTER_S = 0.15
CRASHES_AFTER_S = 0.3
AWAY_S = 2.0
LENGTH_S = 40.0
ZONES = {'porto-a': 'norte', 'braga-b': 'norte', 'coimbra-a': 'centro'}
HARMFUL = '/any/label/17'


async def harmful(record, machine, number):
    """Sends the harmful request; its caller leaves early, or stays until its deadline without the disruption."""
    attempt = f'h{number:07x}'
    record.write(f'request {attempt} GET {HARMFUL} sent to {machine.name}')
    reader, writer = await asyncio.open_connection(*machine.address('callers'))
    try:
        writer.write((f'GET {HARMFUL} HTTP/1.1\r\nHost: consulta.example\r\nX-Attempt-Id: {attempt}\r\n'
                      'X-Deadline-Ms: 3000\r\nAuthorization: Token key\r\n\r\n').encode())
        line = await asyncio.wait_for(reader.readline(), LEAVES_AFTER_S if TROUBLE else 3.5)
        record.write(f'request {attempt} answered {line.decode("latin-1").strip() or "nothing"}')
    except (TimeoutError, ConnectionError) as error:
        record.write(f'request {attempt}: its caller leaves ({type(error).__name__})')
    finally:
        writer.close()


async def run(record):
    random.seed(1)
    store = await Store().start()
    routes = {'r-1': route('consulta'), 'r-2': route('consulta', prefix='/once/', kind='non_idempotent')}
    await store.put('op', 'config', config(1, routes, ['consulta'], {'hotel': tenant(['key'])}))
    reached, crashed, begun = [], [], set()

    async def work(target, headers, path, common, writer):
        if path != HARMFUL:
            begun.add(common['X-Attempt-Id'])
            return False
        server = target.server
        reached.append(now())
        await asyncio.sleep(CRASHES_AFTER_S)
        if target.server is server and server.server.is_serving():
            crashed.append(now())
            asyncio.ensure_future(target.crash(AWAY_S))
        return None

    targets = [await Target(store, record, 'consulta', zone, place, work, work_s=0.1).start()
               for place, zone in enumerate(ZONES)]
    fleet, client = Fleet(record, store, ZONES), Client(record)
    others = []
    try:
        await fleet.start()
        await asyncio.sleep(4)
        end, number = now() + LENGTH_S, 0
        while now() < end:
            number += 1
            await harmful(record, random.choice(fleet.machines), number)
            for _ in range(10):
                others.append(asyncio.ensure_future(
                    client.ask(random.choice(fleet.machines), f'/once/{len(others)}', 'key', 'POST')))
                await asyncio.sleep(0.1)
        answers = [await task for task in others]
        lost = [attempt for _, attempt, got in answers if attempt in begun and got[0] not in (200, 429, 503)]
        if len(crashed) < 3:
            record.verdict(f'only {len(crashed)} crashes in {len(reached)} sends')
            return HELD if not TROUBLE else NOT_RUN
        late = [at for at in reached if at > crashed[2] + CONTACT_S]
        record.verdict(f'{number} times sent by the caller; {len(reached)} sends, {len(crashed)} crashes; {len(late)} sends '
                       f'later than {CONTACT_S} s after the third crash, {MOST_RETRIES} are allowed; {len(lost)} of '
                       f'{len(answers)} other requests, which may run once, were lost while they ran')
        return BROKEN if len(late) > MOST_RETRIES else HELD
    finally:
        await fleet.end()


main(HERE, run)
