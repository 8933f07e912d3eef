"""Requests that are accepted after a SIGTERM are broken off while their target is at work."""
import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))
from stand_in import (BROKEN, HELD, TROUBLE, Client, Fleet, Store, Target, config, main, now, route, tenant)

GRACE_S = 6.0
WORK_S = 2.8
ZONES = {'porto-a': 'norte', 'braga-b': 'norte', 'coimbra-a': 'centro'}


async def run(record):
    store = await Store().start()
    await store.put('op', 'config', config(1, {'r-1': route('consulta', timeout_s=5.0)}, ['consulta'],
                                           {'hotel': tenant(['key'])}))
    targets = [await Target(store, record, 'consulta', zone, place, slots=40, work_s=WORK_S).start()
               for place, zone in enumerate(ZONES)]
    fleet, client = Fleet(record, store, ZONES), Client(record)
    try:
        await fleet.start()
        await asyncio.sleep(3)
        machine = fleet.machines[0]
        asked = []
        while len(asked) < 60:
            asked.append(asyncio.ensure_future(client.ask(machine, f'/any/{len(asked)}', 'key', deadline_ms=5000)))
            await asyncio.sleep(0.05)
        term = now()
        if TROUBLE:
            machine.process.send_signal(signal.SIGTERM)
            record.write(f'{machine.name} gets SIGTERM')
        while now() < term + 4.5:
            asked.append(asyncio.ensure_future(client.ask(machine, f'/any/{len(asked)}', 'key', deadline_ms=5000)))
            await asyncio.sleep(0.05)
        broken = []
        counts = {}
        for task in asked:
            at, attempt, got = await task
            reached = [time for target in targets for time, it, *_ in target.arrivals if it == attempt]
            counts[got[0]] = counts.get(got[0], 0) + 1
            # A target that was at work in the last sixth excuses what was sent within 3 s.
            if at - term > 3.05 and reached and (got[0] is None or 'x-response-signature' not in got[1]):
                broken.append((at - term, reached[0] - term, got[0]))
        record.write(f'answers: {counts}')
        if broken:
            first, last = broken[0], broken[-1]
            record.verdict(f'{len(broken)} requests that targets were running were given up, sent {first[0]:.2f} to '
                           f'{last[0]:.2f} s after the SIGTERM, answered {first[2]}; the targets needed {WORK_S} s')
            return BROKEN
        record.verdict(f'all requests that were passed on were answered: {counts}')
        return HELD
    finally:
        await fleet.end()


main(HERE, run)
