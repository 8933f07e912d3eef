"""Stand-ins for the cases of this review: store, targets, clients, and the machines as processes.

Everything listens on loopback addresses. The stand-ins follow the users' pages; where these are
silent they behave like a sound store, target or client.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / 'target' / 'release' / 'azurenotchd'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request',
           500: 'Internal Server Error', 503: 'Service Unavailable'}
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, case):
        self.file = open(Path(case) / 'record.txt', 'w')

    def write(self, text):
        self.file.write(f'{now():8.3f} s  {text}\n')

    def verdict(self, text):
        self.write(text)
        self.file.flush()
        print(text)


# Ports -------------------------------------------------------------------------------------------

KEPT = []


def free_port(ips, kind=socket.SOCK_STREAM):
    """A port that is free on all these addresses, and stays reserved for this script."""
    for _ in range(50):
        port, bound = 0, []
        try:
            for ip in ips:
                one = socket.socket(socket.AF_INET, kind)
                one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                one.bind((ip, port))
                port = one.getsockname()[1]
                bound.append(one)
            KEPT.extend(bound)
            return port
        except OSError:
            for one in bound:
                one.close()
    raise RuntimeError('no free port')


# HTTP --------------------------------------------------------------------------------------------

async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_end else b''


def answer(status, headers=None, body=b''):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Server:
    """HTTP/1.1 server; `handle(method, target, headers, body, writer)` returns bytes, or None to close."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, reuse_address=True, backlog=512)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                out = await self.handle(method, target, headers, body, writer)
                if out is None:
                    break
                writer.write(out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def crash(self):
        """Ends like a killed process: nothing listens any more, and all connections are reset."""
        self.server.close()
        for writer in list(self.connections):
            sock = writer.get_extra_info('socket')
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
            writer.transport.abort()


async def call(address, method, path, headers, body=b'', timeout=5.0):
    """One request on a connection of its own; returns (status, headers, body), or (None, {}, cause)."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f'{method} {path} HTTP/1.1'] + [f'{n}: {v}' for n, v in headers.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            line, got = await read_head(reader)
            content = await read_body(reader, got, until_end=True)
            return int(line.split()[1]), got, content
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
        return None, {}, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


# Store -------------------------------------------------------------------------------------------

class Store:
    """The platform's store, as far as machines use it: rows, transactions and feeds."""

    def __init__(self):
        self.rows, self.log, self.version, self.era = {}, [], 1, 1
        self.down_for = set()
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start('127.0.0.1')
        self.address = self.server.address
        return self

    def apply(self, table, key, value):
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key))

    async def tell(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value):
        self.apply(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.tell()

    async def remove(self, table, key):
        self.apply(table, key, None)
        await self.tell()

    def copy(self):
        return dict(self.rows), list(self.log), self.version

    async def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and versions are given out again."""
        rows, log, self.version = copy
        self.rows, self.log = dict(rows), list(log)
        self.era += 1
        await self.tell()

    def row(self, key):
        value, version = self.rows[key]
        return {'table': key[0], 'part': '', 'key': key[1], 'value': value, 'ver': version}

    def reply(self, status, body=None):
        headers = {'Content-Type': 'application/json', 'Store-Era': str(self.era)}
        body = dict(body or {}, ver=self.version, now_s=now())
        return answer(status, headers, json.dumps(body).encode())

    async def handle(self, method, target, headers, body, writer):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == '/api/rows-get':
            keys = sorted(key for key in self.rows if key[0] == query['table'] and key[1] >= query.get('from', ''))
            limit = int(query.get('limit', 500))
            rows = [self.row(key) for key in keys[:limit]]
            return self.reply(200, {'rows': rows, 'has_more': len(keys) > limit})
        if url.path == '/api/rows-feed':
            return await self.feed(query['table'], int(query['after']), int(query.get('wait_ms', 0)) / 1000)
        if url.path == '/api/rows-tx':
            return await self.transact(json.loads(body))
        return self.reply(404)

    async def feed(self, table, after, wait):
        end, era = now() + wait, self.era
        while True:
            if after > self.version or era != self.era:
                return self.reply(410)
            keys = dict.fromkeys(key for version, *key in self.log
                                 if version > after and key[0] == table for key in [tuple(key)])
            if keys or now() >= end:
                last = {(t, k): v for v, t, k in self.log}
                rows = [self.row(key) if key in self.rows else
                        {'table': key[0], 'part': '', 'key': key[1], 'ver': last[key], 'removed': True}
                        for key in keys]
                return self.reply(200, {'rows': sorted(rows, key=lambda row: row['ver'])})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, end - now()))
                except TimeoutError:
                    pass

    async def transact(self, body):
        for entry in body.get('precondition', []):
            known = self.rows.get((entry['table'], entry['key']), ('', 0))[1]
            if known != entry['ver']:
                return self.reply(412, {'rows': []})
        for entry in body.get('puts', []):
            self.apply(entry['table'], entry['key'], entry['value'])
        for entry in body.get('remove', []):
            self.apply(entry['table'], entry['key'], None)
        await self.tell()
        return self.reply(200)


# Targets -----------------------------------------------------------------------------------------

class Target:
    """A target; `work(target, headers, path)` may be set to return (status, headers, body), or bytes."""

    def __init__(self, store, record, service, zone, place, work=None, slots=8, work_s=0.02):
        self.store, self.record, self.service, self.zone, self.place = store, record, service, zone, place
        self.work, self.slots, self.work_s = work, slots, work_s
        self.starts, self.arrivals, self.address = 0, [], None

    async def start(self):
        self.starts += 1
        self.id = f'i-{self.place}-{self.starts}'
        self.born = int(time.time() * 1000)
        self.server = Server(self.handle)
        await self.server.start(*(self.address or ('127.0.0.1', 0)))
        self.address = self.server.address[:2]
        await self.list('ready')
        return self

    async def list(self, state):
        row = {'service': self.service, 'address': '%s:%d' % self.address, 'zone': self.zone, 'version': 'v1',
               'slots': self.slots, 'state': state, 'cold_remaining_s': 0, 'seq': 1, 'born': self.born}
        await self.store.put('servers', self.id, row)

    async def crash(self, away_s):
        """The process ends, its row lapses, and a new process starts at the same address."""
        server, old = self.server, self.id
        server.crash()
        self.record.write(f'target {old} crashes')
        await asyncio.sleep(away_s)
        await self.store.remove('servers', old)
        await self.start()
        self.record.write(f'target {self.id} starts in place of {old}')

    async def handle(self, method, path, headers, body, writer):
        common = {'X-Instance-Id': self.id}
        if path == '/healthz':
            return answer(200, common)
        attempt = headers.get('x-attempt-id', '')
        common['X-Attempt-Id'] = attempt
        if headers.get('x-expect-instance', self.id) != self.id:
            return answer(421, common)
        self.arrivals.append((now(), attempt, headers.get('x-tenant', ''), path))
        self.record.write(f'request {attempt} {method} {path} of {headers.get("x-tenant", "-")} reaches {self.id}')
        common['X-Response-Signature'] = 'signed.' + attempt
        if self.work is not None:
            out = await self.work(self, headers, path, common, writer)
            if out is not False:
                return out
        await asyncio.sleep(self.work_s)
        return answer(200, common, b'served ' + attempt.encode())


# Machines ----------------------------------------------------------------------------------------

class Machine:
    """A machine of the system: one process, started with the command of the deploy file."""

    def __init__(self, fleet, number, zone, region):
        self.fleet, self.number, self.zone, self.region = fleet, number, zone, region
        self.ip, self.name, self.process = f'127.0.1.{number}', f'edge-{zone}-{number}', None

    def address(self, port):
        return (self.ip, self.fleet.ports[port])

    def settings(self, first):
        fleet, ports = self.fleet, self.fleet.ports
        seeds = ','.join(f'{it.ip}:{ports["control"]}' for it in fleet.machines[:3])
        lines = ['[host]', f'name = {self.name}', f'data-centre = {self.zone}', f'region = {self.region}']
        names = {'callers': 'callers', 'ready': 'ready', 'look-ups': 'look-ups', 'control': 'control'}
        lines += [f'{name} = {self.ip}:{ports[port]}' for name, port in names.items()]
        lines += [f'peer-port = {ports["peers"]}', f'seeds = {seeds}']
        lines += ['first-start = yes'] if first else []
        for zone, region in fleet.zones.items():
            lines += [f'[data-centre {zone}]', f'region = {region}']
        lines += ['[store]', 'address = %s:%d' % fleet.store.address[:2], '[machine]', 'memory-mb = 260',
                  'descriptors = 1024', '[bounds]', 'contact-s = 4', 'withdrawal-s = 5', 'adoption-s = 2.5',
                  'grace-s = 6', 'drain-s = 2.5', 'look-up-s = 5', 'repeat-ratio = 0.2', 'repeat-slack = 64',
                  'repeat-window-s = 10', 'exposure = 0.1', 'take-back-s = 5', 'strict-withdrawal = yes']
        return '\n'.join(lines) + '\n'

    async def start(self, first=False):
        path = self.fleet.folder / f'{self.name}.ini'
        path.write_text(self.settings(first))
        log = open(self.fleet.folder / f'{self.name}.log', 'a')
        command = [str(PROGRAM), 'entry', '--settings', str(path)]
        self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.fleet.record.write(f'{self.name} starts')

    async def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.fleet.record.write(f'{self.name} is killed')

    async def is_ready(self):
        status, _, _ = await call(self.address('ready'), 'GET', '/api/readyz', {'Host': 'ready'}, timeout=1.0)
        return status == 200


class Fleet:
    """All machines, with the store."""

    def __init__(self, record, store, zones, per_zone=1):
        self.record, self.store, self.zones = record, store, zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        places = [(zone, region) for zone, region in zones.items() for _ in range(per_zone)]
        self.machines = [Machine(self, number, *place) for number, place in enumerate(places, 1)]
        ips = [it.ip for it in self.machines] + ['127.0.1.250']
        self.ports = {name: free_port(ips) for name in ('callers', 'ready', 'look-ups', 'control')}
        self.ports['peers'] = free_port(ips)

    async def start(self):
        for machine in self.machines:
            await machine.start(first=True)
        await self.settle(self.machines)

    async def settle(self, machines, most=15.0):
        end = now() + most
        for machine in machines:
            while not await machine.is_ready():
                if now() > end:
                    raise RuntimeError(f'{machine.name} is not ready')
                await asyncio.sleep(0.02)

    async def end(self):
        for machine in self.machines:
            await machine.kill()
        if os.environ.get('KEEP'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Configuration and clients -----------------------------------------------------------------------

def route(service, prefix='/any/', kind='idempotent', timeout_s=3.0, attempts=2, public=False, sticky=False):
    return {'host': 'consulta.example', 'path_prefix': prefix, 'kind': kind, 'timeout_s': timeout_s,
            'slo_latency_s': 0.3, 'priority': 1, 'service': service, 'max_attempts': attempts,
            'public': public, 'session_affinity': sticky, 'home_regions': []}


def config(version, routes, services, tenants):
    return {'version': version, 'routes': routes,
            'services': {name: {'health_check_path': '/healthz', 'max_connections': 390, 'protocol': 'h1',
                                'tls': False, 'cold_start_s': 3.0, 'cold_per_s': 4.7} for name in services},
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 67108864, 'header_timeout_s': 3,
                       'idle_timeout_s': 15},
            'tenants': tenants}


def tenant(keys, rate=0, burst=0):
    return {'api_keys': keys, 'priority': 0, 'rate_per_s': rate, 'burst': burst, 'home_regions': []}


class Client:
    """Sends requests, each with an id of its own, on connections of their own."""

    def __init__(self, record):
        self.record, self.sent = record, 0

    async def ask(self, machine, path, key=None, method='GET', body=b'', deadline_ms=3000, headers=None):
        self.sent += 1
        attempt = f'{self.sent:08x}'
        lines = {'Host': 'consulta.example', 'X-Attempt-Id': attempt, 'X-Deadline-Ms': str(deadline_ms)}
        if key is not None:
            lines['Authorization'] = f'Token {key}'
        lines.update(headers or {})
        at = now()
        self.record.write(f'request {attempt} {method} {path} sent to {machine.name}')
        got = await call(machine.address('callers'), method, path, lines, body, timeout=deadline_ms / 1000 + 0.5)
        self.record.write(f'request {attempt} answered {got[0] or got[2].decode()}')
        return at, attempt, got


def most_in_window(times, length):
    """The most of these times that lie in some window of this length."""
    times, best, first = sorted(times), 0, 0
    for last, time_ in enumerate(times):
        while time_ - times[first] > length:
            first += 1
        best = max(best, last - first + 1)
    return best


def main(case, run):
    """Runs a case within 120 seconds and exits with its verdict."""
    record = Record(case)
    if not PROGRAM.exists():
        record.verdict('the program of the deploy file is not built')
        sys.exit(NOT_RUN)
    try:
        code = asyncio.run(asyncio.wait_for(run(record), 115))
    except Exception as error:  # the case could not run
        record.verdict(f'could not run: {type(error).__name__}: {error}')
        code = NOT_RUN
    record.verdict({HELD: 'the rule held', BROKEN: 'the rule was broken', NOT_RUN: 'not run'}[code])
    record.file.close()
    sys.exit(code)
