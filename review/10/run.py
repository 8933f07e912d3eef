"""A caller that closes only its sending side after its last request gets no answer, though the request runs."""
import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))
from stand_in import (BROKEN, HELD, TROUBLE, Fleet, Store, Target, config, main, read_body, read_head, route, tenant)

MOST = 3
CALLERS = 30
WAIT_S = 5.0
ZONES = {'porto-a': 'norte', 'braga-b': 'norte', 'coimbra-a': 'centro'}


async def run(record):
    random.seed(1)
    store = await Store().start()
    routes = {'r-1': route('registo', prefix='/once/', kind='non_idempotent')}
    await store.put('op', 'config', config(1, routes, ['registo'], {'hotel': tenant(['key'])}))
    targets = [await Target(store, record, 'registo', zone, place, work_s=0.2).start() for place, zone in enumerate(ZONES)]
    fleet = Fleet(record, store, ZONES)
    outcomes = {}

    async def ask(machine, number):
        """Sends two requests on a connection, one after the other; the second one is the caller's last."""
        reader, writer = await asyncio.open_connection(*machine.address('callers'))
        try:
            for part in ('first', 'last'):
                attempt = f'{part}-{number}'
                body = b'slot %d' % number
                writer.write((f'POST /once/{attempt} HTTP/1.1\r\nHost: consulta.example\r\nX-Attempt-Id: {attempt}\r\n'
                              f'X-Deadline-Ms: 3000\r\nAuthorization: Token key\r\nContent-Length: {len(body)}\r\n\r\n'
                              ).encode() + body)
                await writer.drain()
                record.write(f'request {attempt} sent to {machine.name}')
                if part == 'last' and TROUBLE:
                    # The request is there by then, and its target works on it.
                    await asyncio.sleep(0.05)
                    writer.write_eof()
                    record.write(f'the caller of {attempt} closes its sending side and waits for the answer')
                try:
                    line, headers = await asyncio.wait_for(read_head(reader), WAIT_S)
                    await read_body(reader, headers)
                    outcomes[attempt] = line.split()[1]
                except (asyncio.IncompleteReadError, ConnectionError):
                    outcomes[attempt] = 'closed'
                except TimeoutError:
                    outcomes[attempt] = 'nothing'
                record.write(f'request {attempt}: {outcomes[attempt]}')
        finally:
            writer.close()

    try:
        await fleet.start()
        await asyncio.sleep(4)
        tasks = []
        for number in range(CALLERS):
            tasks.append(asyncio.ensure_future(ask(random.choice(fleet.machines), number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
        ran = {attempt for target in targets for _, attempt, *_ in target.arrivals}
        cut = [it for it, outcome in outcomes.items() if outcome == 'closed' and it in ran]
        record.verdict(f'{len(outcomes)} requests on kept connections, {len(cut)} were passed on to a target and their '
                       f'connection was closed without an answer; {MOST} are allowed')
        return BROKEN if len(cut) > MOST else HELD
    finally:
        await fleet.end()


main(HERE, run)
