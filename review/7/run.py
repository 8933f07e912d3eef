"""A version that was taken back is declared done when the store has come back from a copy and all machines start again."""
import asyncio
import base64
import json
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / 'common'), str(HERE.parent / 'common-2')]
from guard import main
from stand_in import (BROKEN, HELD, NOT_RUN, TROUBLE, Client, Fleet, Store, Target, answer, config, now, route,
                      tenant)

CONTACT_S, ROLLBACK_S, DURATION_S = 4.0, 5.0, 16.0
# From the order: when the new version turns bad, when the copy is taken, when the store comes back from it.
BAD_FROM_S, COPY_AT_S, RESTORE_AT_S = 8.0, 7.9, 14.5
BAD_SHARE = 0.8
INTERVAL_S = 0.012
ZONES = {'porto-a': 'norte', 'braga-b': 'norte', 'coimbra-a': 'centro'}


class Versioned(Target):
    """A target that names its version."""

    version = 'v1'

    async def list(self, state):
        row = {'service': self.service, 'address': '%s:%d' % self.address, 'zone': self.zone, 'version': self.version,
               'slots': self.slots, 'state': state, 'cold_remaining_s': 0, 'seq': 1, 'born': self.born}
        await self.store.put('servers', self.id, row)


class New(Versioned):
    version = 'v2'


def state(store):
    """The state of the move as the system has written it; `None` without one."""
    row = store.rows.get(('status', 'rollout/consulta'))
    return json.loads(base64.b64decode(row[0]))['state'] if row else None


async def run(record):
    random.seed(1)
    store = await Store().start()
    await store.put('op', 'config', config(1, {'r-1': route('consulta')}, ['consulta'], {'hotel': tenant(['key'])}))
    ordered, bad, new_arrivals = None, [], []

    async def work(target, headers, path, common, writer):
        if target.version == 'v1':
            return False
        new_arrivals.append((now(), common['X-Attempt-Id']))
        if ordered is None or now() < ordered + BAD_FROM_S or random.random() > BAD_SHARE:
            return False
        bad.append(now())
        return answer(500, common, b'failed')

    old = [await Versioned(store, record, 'consulta', zone, f'a{place}', work, work_s=0.01).start()
           for place, zone in enumerate(ZONES)]
    fleet, client = Fleet(record, store, ZONES), Client(record)
    sent, tasks, stop = {}, [], asyncio.Event()

    async def ask():
        at, attempt, got = await client.ask(random.choice(fleet.machines), f'/any/{client.sent}', 'key')
        sent[attempt] = (at, got[0])

    async def traffic():
        while not stop.is_set():
            tasks.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(INTERVAL_S)

    async def platform():
        """At `succeeded`, the platform stops the old targets at once; it writes what it sees."""
        known = None
        while not stop.is_set():
            if state(store) != known:
                known = state(store)
                record.verdict(f'{now():.1f} s: the state of the move is {known}')
                if known == 'succeeded':
                    for target in old:
                        target.server.crash()
                        await store.remove('servers', target.id)
                    record.write('the platform stops the old targets')
            await asyncio.sleep(0.05)

    try:
        await fleet.start()
        await asyncio.sleep(4)
        background = [asyncio.ensure_future(traffic()), asyncio.ensure_future(platform())]
        await asyncio.sleep(2)
        new = [await New(store, record, 'consulta', zone, f'b{place}', work, work_s=0.01).start()
               for place, zone in enumerate(ZONES)]
        await store.put('op', 'rollout/consulta', {'service': 'consulta', 'to': 'v2', 'duration_s': DURATION_S})
        ordered = now()
        record.write('the operator orders the move to v2')
        await asyncio.sleep(COPY_AT_S)
        copy = store.copy()
        record.write(f'the copy of the store is taken; the state of the move is {state(store)}')
        while state(store) != 'rolled_back':
            if now() > ordered + RESTORE_AT_S - 0.5:
                record.verdict(f'the version was not taken back in time: {state(store)}')
                return NOT_RUN
            await asyncio.sleep(0.05)
        back = now()
        await asyncio.sleep(ordered + RESTORE_AT_S - now())
        if TROUBLE:
            await store.restore(copy)
            record.write('the store comes back from the copy')
            for one in fleet.machines:
                await one.kill()
            await asyncio.sleep(0.4)
            for target in [*old, *new]:
                await target.list('ready')
            for one in fleet.machines:
                await one.start()
            await fleet.settle(fleet.machines)
        in_touch = now() + CONTACT_S
        await asyncio.sleep(CONTACT_S + ROLLBACK_S + 5)
        stop.set()
        await asyncio.gather(*background, *tasks)
        later = [at for at in bad if at > in_touch]
        fiftieth = later[49] if len(later) >= 50 else None
        late = [a for at, a in new_arrivals if fiftieth and a in sent and sent[a][0] > fiftieth + ROLLBACK_S]
        failed = sum(1 for at, status in sent.values() if at > in_touch and status not in (200, 429, 503))
        asked = sum(1 for at, _ in sent.values() if at > in_touch)
        record.verdict(f'taken back {back - ordered:.1f} s after the order; {len(later)} bad answers once the machines were in touch again; '
                       f'{len(late)} requests reached v2 that were sent later than {ROLLBACK_S} s after the 50th of them; '
                       f'{failed} of {asked} requests failed in that time')
        return BROKEN if late else HELD
    finally:
        stop.set()
        await fleet.end()


main(HERE, run)
