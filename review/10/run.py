"""A rejected request is forgotten when the store has come back from a copy and all machines start again."""
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
CRASHES_AFTER_S = 0.2
AWAY_S = 2.0
# Silence after which the platform removes an entry: three heartbeats of 1.5 s.
LAPSE_S = 4.5
WAVES = 12
ZONES = {'porto-a': 'norte', 'braga-b': 'norte', 'coimbra-a': 'centro'}
HARMFUL = '/any/label/17'


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
               for place, zone in enumerate([*ZONES, *ZONES])]
    fleet, client = Fleet(record, store, ZONES), Client(record)
    try:
        await fleet.start()
        await asyncio.sleep(4)
        copy = store.copy()
        record.write('the copy of the store is taken')
        await asyncio.sleep(0.5)
        end = now() + 20
        while now() < end:
            _, _, got = await client.ask(random.choice(fleet.machines), HARMFUL, 'key')
            if got[0] == 503 and len(crashed) >= 3:
                break
            await asyncio.sleep(0.5)
        else:
            record.verdict(f'the request was not rejected after {len(crashed)} crashes')
            return NOT_RUN
        record.write(f'the request is rejected after {len(crashed)} crashes')
        await asyncio.sleep(AWAY_S + 0.5)
        if TROUBLE:
            listed = {target.id for target in targets}
            await store.restore(copy)
            record.write('the store comes back from the copy')
            await asyncio.sleep(0.5)
            for target in targets:
                await target.list('ready')
            await asyncio.sleep(LAPSE_S - 0.5)
            for table, key in list(store.rows):
                if table == 'servers' and key not in listed:
                    await store.remove(table, key)
            record.write('the targets have written again, and the entries of those that have ended have lapsed')
        else:
            await asyncio.sleep(LAPSE_S)
        await asyncio.sleep(CONTACT_S)
        for one in fleet.machines:
            await one.kill()
        await asyncio.sleep(0.5)
        for one in fleet.machines:
            await one.start()
        await fleet.settle(fleet.machines)
        await asyncio.sleep(CONTACT_S + 1)
        record.write('all machines are in touch again')
        before, others, others_at = len(reached), [], now()
        for _ in range(WAVES):
            wave = [client.ask(one, HARMFUL, 'key') for one in fleet.machines]
            wave = [asyncio.ensure_future(it) for it in wave]
            for _ in range(10):
                others.append(asyncio.ensure_future(
                    client.ask(random.choice(fleet.machines), f'/once/{len(others)}', 'key', 'POST')))
                await asyncio.sleep(0.1)
            await asyncio.gather(*wave)
        answers = [await task for task in others]
        lost = [attempt for _, attempt, got in answers if attempt in begun and got[0] not in (200, 429, 503)]
        late = [at for at in reached if at > crashed[2] + CONTACT_S and at > others_at]
        record.verdict(f'{before} sends before the machines were killed; {len(late)} sends later, by machines in touch '
                       f'and more than {CONTACT_S} s after the third crash ({MOST_RETRIES} are allowed), and '
                       f'{sum(at > others_at for at in crashed)} crashes; {len(lost)} of {len(answers)} other requests, '
                       f'which may run once, were lost while they ran')
        return BROKEN if len(late) > MOST_RETRIES else HELD
    finally:
        await fleet.end()


main(HERE, run)
