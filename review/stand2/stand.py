"""Stand-ins for the platform of the front node: bulletin, servers and clients, on loopback addresses only.

They follow PROTOCOL and DEPLOY of the users' pages. A case imports this file, starts front nodes with the line `run` of
the deploy file and judges what crossed the sockets. Python's standard library only.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED, RUNG = 1, 6, 9, 12, 16, 44, 51, 52, 53, 60
CLASS, WAIT, TITLE, FIGURES, STAY_AWAY, KIND, REPORT, RUNG_NO, FIGURE, CAUSE, DESCRIPTION = \
    1, 2, 5, 6, 7, 8, 10, 12, 13, 15, 16
LADDER = [189.0, 325.0, 561.0, 966.0, 1665.0]
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def now_ms():
    return time.time() * 1000


def message(kind, session, *parameters):
    body = struct.pack('>BQ', kind, session)
    for code, value in parameters:
        value = value if isinstance(value, bytes) else str(value).encode()
        body += struct.pack('>BH', code, len(value)) + value
    return struct.pack('>H', len(body)) + body


async def read_message(reader):
    length = struct.unpack('>H', await reader.readexactly(2))[0]
    body = await reader.readexactly(length)
    kind, session = struct.unpack('>BQ', body[:9])
    at, parameters = 9, {}
    while at < length:
        code, size = struct.unpack('>BH', body[at:at + 3])
        parameters[code] = body[at + 3:at + 3 + size]
        at += 3 + size
    return kind, session, parameters


def cause_of(parameters):
    return parameters.get(CAUSE, b'\xff')[0]


def reset(writer):
    """Closes a connection with a reset, as a dying process does."""
    sock = writer.get_extra_info('socket')
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Record:
    """What was sent, answered and run, with the Unix time in ms."""

    def __init__(self, folder, quiet=False):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')
        self.quiet = quiet

    def __call__(self, *words):
        line = '%.1f %s' % (now_ms(), ' '.join(str(w) for w in words))
        self.file.write(line + '\n')

    def say(self, *words):
        self(*words)
        print(*words, flush=True)

    def close(self):
        self.file.close()


class Bulletin:
    """Numbered events as server-sent events; a comment each second."""

    def __init__(self, record):
        self.record, self.events, self.writers = record, [], set()
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, members, complete=False):
        number = len(self.events) + 1
        self.events.append({'no': number, 'roster': {'revision': number, 'complete': complete, 'members': members}})
        self.record('bulletin event', number, json.dumps(members))
        for writer in list(self.writers):
            self.write(writer, self.events[-1])
        return now_ms()

    def stop(self):
        """Discovery is down: it ends its connections and accepts no new one."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.writers.clear()

    @staticmethod
    def write(writer, event):
        try:
            writer.write(('id: %d\ndata: %s\n\n' % (event['no'], json.dumps(event))).encode())
        except (ConnectionError, RuntimeError):
            pass

    def known(self):
        return {'no': len(self.events), 'items': list(self.events)}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            last = 0
            for line in head.split('\r\n'):
                if line.startswith('last-event-id:'):
                    last = int(line.split(':')[1])
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n: hello\n\n')
            for event in self.events[last:]:
                self.write(writer, event)
            self.writers.add(writer)
            while True:
                await asyncio.sleep(1)
                writer.write(b': still here\n\n')
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """One process of a server at an address: answers set-ups, lets sessions play, sends notes, ends sessions."""

    def __init__(self, record, name, cell, zone='north', answer_ms=(5, 20), life_s=(40, 60), notes=True, tell_s=2.75):
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.answer_ms, self.life_s, self.notes, self.tell_s = answer_ms, life_s, notes, tell_s
        self.port, self.listener, self.alive = 0, None, False
        self.writers, self.standing, self.open = [], {}, {}
        self.arrived = []        # (time, session, parameters)
        self.ended = {}          # session -> (time, cause)
        self.full = set()        # refused as full: these never ran
        self.unsent = {}         # releases that wait for the next connection
        self.on_set_up = None
        self.tasks = set()
        self.places, self.capacity_kb, self.rungs = 24, 8000.0, {}

    def member(self, phase='SERVING', since=0):
        return {'id': self.name, 'host_port': '127.0.0.1:%d' % self.port, 'locality': self.zone, 'flavor': 'std',
                'cell': self.cell, 'phase': phase, 'size': 1, 'up_since_ms': since}

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, '127.0.0.1', port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.alive = True
        self.spawn(self.send_notes())
        return self

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def die(self):
        """The process dies: its connections are reset and its sessions cut."""
        self.alive = False
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        died = now_ms()
        for session in self.standing:
            self.ended[session] = (died, 'died')
        self.standing.clear()
        for task in list(self.tasks):
            task.cancel()
        self.record(self.name, 'died')

    def vanish(self):
        """The machine is cut off: its connections stay open and say nothing, its sessions are over.

        Whoever has its address from then on answers what comes on these connections with a reset, as any machine does.
        """
        self.alive = False
        self.listener.close()
        vanished = now_ms()
        for session in self.standing:
            self.ended[session] = (vanished, 'vanished')
        self.standing.clear()
        self.record(self.name, 'went silent')

    def write(self, writer, data):
        if self.alive and not writer.is_closing():
            writer.write(data)

    @property
    def load(self):
        """What is asked of its link over what it gives; sessions play at the rung that was set last."""
        return sum(LADDER[self.rungs.get(session, 0)] for session in self.standing) / self.capacity_kb

    def report(self):
        load = self.load
        return 'inflight:%d;x0:%.2f;x1:%.2f' % (len(self.standing), load, load * 0.8)

    async def serve(self, reader, writer):
        if not self.alive:
            reset(writer)
            return
        self.writers.append(writer)
        writer.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for session, cause in list(self.unsent.items()):
            self.write(writer, message(RELEASE, session, (CAUSE, bytes([cause]))))
            self.record(self.name, 'released again %016x' % session, 'cause', cause)
        self.unsent.clear()
        try:
            while True:
                kind, session, parameters = await read_message(reader)
                if not self.alive:
                    self.record('a connection to', self.name, 'was reset: its address belongs to another machine')
                    reset(writer)
                    return
                if kind == SET_UP:
                    self.arrived.append((now_ms(), session, parameters))
                    self.record(self.name, 'got set-up %016x' % session, parameters.get(TITLE, b'').decode())
                    self.open[session] = writer
                    self.rungs[session] = int(parameters.get(RUNG_NO, b'0'))
                    self.spawn(self.answer(session, parameters, writer))
                elif kind == RUNG:
                    self.rungs[session] = int(parameters.get(RUNG_NO, b'0'))
                elif kind == TEST:
                    self.write(writer, message(TESTED, session, (CAUSE, b'\x01'), (REPORT, self.report())))
                elif kind == RELEASE:
                    self.open.pop(session, None)
                    if session in self.standing:
                        self.standing.pop(session)
                        self.ended[session] = (now_ms(), 'released by the node')
                        self.record(self.name, 'heard release %016x' % session)
                    self.write(writer, message(HEARD, session))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            for session in [s for s, w in self.open.items() if w is writer]:
                self.open.pop(session)
            writer.close()

    async def answer(self, session, parameters, writer):
        if self.on_set_up is not None:
            handled = self.on_set_up(session, parameters, writer)
            if handled:
                self.open.pop(session, None)
                return
        await asyncio.sleep(random.uniform(*self.answer_ms) / 1000)
        if self.open.get(session) is not writer:
            return
        self.open.pop(session)
        if len(self.standing) >= self.places:
            self.full.add(session)
            self.record(self.name, 'is full for %016x' % session)
            self.write(writer, message(RELEASE, session, (CAUSE, b'\x22'), (REPORT, self.report())))
            return
        self.standing[session] = writer
        self.record(self.name, 'runs %016x' % session)
        self.write(writer, message(ANSWER, session, (DESCRIPTION, b'from ' + self.name.encode())))
        if self.notes:
            self.note(session, 'nic', self.load)
            self.note(session, 'tor', self.load * 0.8)
        await asyncio.sleep(random.uniform(*self.life_s))
        self.end(session, 16)

    def route(self, session):
        writer = self.standing.get(session)
        if writer is not None and not writer.is_closing() and writer in self.writers:
            return writer
        usable = [w for w in self.writers if not w.is_closing()]
        return usable[-1] if usable else None

    def end(self, session, cause):
        """A session has come to its end: its release goes out on its connection or any other, else on the next."""
        if not self.alive or session not in self.standing:
            return
        writer = self.route(session)
        self.standing.pop(session)
        self.ended[session] = (now_ms(), cause)
        self.record(self.name, 'session ended %016x' % session, 'cause', cause, 'sent' if writer else 'no connection')
        if writer is None:
            self.unsent[session] = cause
        else:
            self.write(writer, message(RELEASE, session, (CAUSE, bytes([cause])), (REPORT, self.report())))

    def note(self, session, kind, value):
        writer = self.route(session)
        if writer is not None:
            self.write(writer, message(NOTE, session, (KIND, kind), (FIGURE, '%.3f' % value)))

    async def send_notes(self):
        while self.notes:
            await asyncio.sleep(self.tell_s)
            if self.standing:
                session = next(iter(self.standing))
                self.note(session, 'nic', self.load)
                self.note(session, 'tor', self.load * 0.8)


class Network:
    """One connection of viewers on its way to a front node; it can be reset on both sides."""

    def __init__(self, node):
        self.node, self.ends = node, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.listen = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        host, port = self.node.listen.split(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        for end in (writer, far_writer):
            end.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ends = [writer, far_writer]
        await asyncio.gather(self.pass_on(reader, far_writer), self.pass_on(far_reader, writer))

    @staticmethod
    async def pass_on(reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()

    def reset(self):
        for end in self.ends:
            reset(end)
        self.ends = []


class Client:
    """Viewers behind a connection to a front node. Releases are acknowledged at once."""

    def __init__(self, record, node, name='client'):
        self.record, self.node, self.name = record, node, name
        self.asked, self.answers, self.released, self.moved = {}, {}, {}, {}
        self.doubles = []
        self.writer, self.closed_at = None, None
        self.on_release = None

    async def connect(self):
        host, port = self.node.listen.split(':')
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.closed_at = None
        self.task = asyncio.ensure_future(self.read(self.reader))
        return self

    async def read(self, reader):
        try:
            while True:
                kind, session, parameters = await read_message(reader)
                if kind == ANSWER:
                    if session in self.answers:
                        self.doubles.append(session)
                    self.answers[session] = (now_ms(), 'served', parameters.get(DESCRIPTION, b''))
                    self.record(self.name, 'served %016x' % session, parameters.get(DESCRIPTION, b'').decode())
                elif kind == RELEASE:
                    cause = cause_of(parameters)
                    self.writer.write(message(HEARD, session))
                    if session in self.asked and session not in self.answers:
                        word = 'refused' if cause in (34, 42, 102) else 'failed'
                        self.answers[session] = (now_ms(), word, b'')
                        self.record(self.name, word, '%016x' % session, 'cause', cause)
                    else:
                        self.released.setdefault(session, (now_ms(), cause))
                        self.record(self.name, 'released %016x' % session, 'cause', cause)
                        if self.on_release is not None:
                            self.on_release(session)
                elif kind == MOVE:
                    self.moved[session] = now_ms()
                    self.record(self.name, 'moved %016x' % session)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_at = now_ms()
            self.record(self.name, 'connection ended')

    def ask(self, class_name, title, home, copies=1, top=4, wait=3000, at=None, session=None, description=b'v=0'):
        session = session or random.getrandbits(64) | 1
        figures = 'home:%d;copies:%d;top:%d;viewer:%016x' % (home, copies, top, session)
        if at:
            figures += ';at:' + at
        else:
            self.asked[session] = (now_ms(), class_name, title, wait)
        self.writer.write(message(SET_UP, session, (CLASS, class_name), (WAIT, wait), (TITLE, title),
                                  (FIGURES, figures), (DESCRIPTION, description)))
        self.record(self.name, 'sent set-up %016x' % session, class_name, title, figures)
        return session

    def release(self, session):
        self.writer.write(message(RELEASE, session, (CAUSE, b'\x10')))

    def close(self):
        if self.writer is not None:
            self.writer.close()


def settings(cells=2, balancers=3, me=0, **changes):
    """Settings like those of the deployment shared-scoreboard at a small size."""
    made = {
        'me': me, 'balancers': balancers, 'az': 'north', 'zones': ['north'], 'models': ['std'], 'tenants': [],
        'over_share_worth': 0.1, 'discovery': 'automatic',
        'report': {'how': 'inline', 'names': ['inflight', 'x0', 'x1']},
        'classes': [
            {'name': 'highlight', 'target': 1000.0, 'hard_limit': 3000.0, 'value': 1.0, 'effect': 'repeatable'},
            {'name': 'radio-replay', 'target': 800.0, 'hard_limit': 3000.0, 'value': 1.0, 'effect': 'repeatable'},
            {'name': 'paid-replay', 'target': 1500.0, 'hard_limit': 3000.0, 'value': 3.0, 'effect': 'once'}],
        'family_info': {
            'cells': cells, 'racks': 2, 'class_floor': [0, 0, 1], 'class_top': [4, 4, 4], 'class_seats': [0, 0, 0],
            'scale_by_class': [1.0, 1.0, 1.2], 'places_by_kind': [24], 'level_kb': [189.0, 325.0, 561.0, 966.0, 1665.0],
            'worth_by_rung': [0.17, 0.41, 0.62, 0.81, 1.0], 'links_kb': 78725.0, 'weight_kb': 8000.0,
            'rack_kb': 40000.0, 'stall': 7.0, 'change_costs_s': 0.9, 'told_late': 830.0, 'tell': 2750.0, 'join': 1.0,
            'refuses_from': 1.2},
        'limits': {'max_attempts': 5, 'max_retry_after': 2000.0, 'connect_timeout': 250.0, 'conn_idle': 15000.0,
                   'retry_after': True, 'probing': True, 'cancel': True, 'max_streams': 32},
        'penalties': {'cross_zone': 0.04},
        'safety': {'cold': 12000.0, 'cold_share': 0.4, 'tip_multiple': 2.0, 'fall': 1500.0, 'drain_grace': 250.0,
                   'grace_to_answer': 40.0}}
    for path, value in changes.items():
        part = made
        *outer, last = path.split('__')
        for key in outer:
            part = part[key]
        part[last] = value
    return made


class Node:
    """A front node, started with the line `run` of the deploy file."""

    def __init__(self, record, bulletin, made_settings, name='n0', sockets=512, memory_mb=128):
        self.record, self.bulletin, self.settings = record, bulletin, made_settings
        self.name, self.sockets, self.memory_mb = name, sockets, memory_mb
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.process, self.log = None, None
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            self.listen = '127.0.0.1:%d' % probe.getsockname()[1]

    def write_config(self, known=None):
        config = {'name': self.name, 'listen': self.listen, 'seed': '%016x' % random.getrandbits(64),
                  'limits': {'cores': 1.0, 'memory_mb': self.memory_mb, 'sockets': self.sockets},
                  'bulletin': self.bulletin.address, 'known': known or self.bulletin.known(),
                  'settings': self.settings}
        path = os.path.join(self.folder, 'config.json')
        with open(path + '.new', 'w') as out:
            json.dump(config, out)
        os.replace(path + '.new', path)
        return path

    async def start(self, known=None, ready_s=30):
        with open(os.path.join(ROOT, 'deploy', 'balancer.toml')) as deploy:
            run = next(line for line in deploy if line.startswith('run = '))[len('run = '):].strip()
        run = json.loads(run)
        scratch = os.path.join(self.folder, 'tmp')
        os.makedirs(scratch, exist_ok=True)
        environment = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=self.listen,
                           EDGE_CONFIG=self.write_config(known), TMPDIR=scratch)
        self.log = open(os.path.join(self.folder, 'log'), 'ab')
        self.process = subprocess.Popen(['/bin/sh', '-c', run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log, start_new_session=True)
        self.record(self.name, 'started')
        host, port = self.listen.split(':')
        until = time.time() + ready_s
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun('the front node ended at its start: ' + self.log_text()[-500:])
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(message(TEST, 0, (CAUSE, b'\x00')))
                kind, _, parameters = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if kind == TESTED and cause_of(parameters) == 1:
                    self.record(self.name, 'passed a test')
                    return self
            except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun('the front node was not ready in time')

    def log_text(self):
        with open(os.path.join(self.folder, 'log'), errors='replace') as text:
            return text.read()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.record(self.name, 'gets signal', number)
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open('/proc/%d/status' % self.process.pid) as status:
                return next(int(line.split()[1]) for line in status if line.startswith('VmRSS')) / 1024
        except (OSError, StopIteration):
            return 0

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
            self.record('--- log of', self.name)
            for line in self.log_text().splitlines()[:400]:
                self.record('log', line)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def run_case(folder, play, limit_s=115):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    nodes = []

    def ended_from_outside(number, frame):
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended_from_outside)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, nodes), limit_s))
        record.say('RULE BROKEN' if broken else 'rule held', '' if TROUBLE else '(without the trouble)')
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        record.say('the case could not run:', repr(problem))
        code = 2
    finally:
        for node in nodes:
            node.stop()
        record.close()
    sys.stdout.flush()
    os._exit(code)
