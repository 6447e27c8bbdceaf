"""Stand-ins for the platform around one front node: discovery, servers and viewers, on loopback and the real clock.

They follow the protocol page: binary messages, one connection for many sessions, sessions that belong to no connection.
Everything that is sent, answered and run is written to record.txt with its Unix time in ms.
"""
import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, NOTE, MOVE, TEST, TEST_RESULT, RUNG = 1, 9, 12, 16, 44, 51, 52, 53, 60
P_CLASS, P_WAIT, P_TITLE, P_FIGURES, P_RETRY, P_NOTE, P_REPORT, P_RUNG, P_FIGURE, P_CAUSE, P_DESCRIPTION = (
    1, 2, 5, 6, 7, 8, 10, 12, 13, 15, 16)
NAMES = {1: "set-up", 6: "progress", 9: "answer", 12: "release", 16: "release-heard", 44: "note", 51: "move",
         52: "test", 53: "test-result", 60: "rung"}

LATE_S = [0]    # how late the stand-ins' own loop came since the node was ready, at most
STOPPING = []   # filled when the case is over: the stand-ins' tasks then end as they are
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now_ms():
    return time.time() * 1000


def encode(kind, session, params=()):
    body = struct.pack(">BQ", kind, session)
    for code, value in params:
        if isinstance(value, str):
            value = value.encode()
        elif isinstance(value, int):
            value = bytes([value])
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


async def read_message(reader, first_byte=None):
    """One message as (type, session, {code: value}); raises IncompleteReadError or ConnectionError at the end. Puts the
    time of the first byte into first_byte[0], if given."""
    start = await reader.readexactly(1)
    if first_byte is not None:
        first_byte[0] = now_ms()
    (length,) = struct.unpack(">H", start + await reader.readexactly(1))
    body = await reader.readexactly(length)
    kind, session = struct.unpack(">BQ", body[:9])
    params, at = {}, 9
    while at < length:
        code, size = struct.unpack(">BH", body[at:at + 3])
        params[code] = body[at + 3:at + 3 + size]
        at += 3 + size
    return kind, session, params


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now_ms()

    def __call__(self, who, what, **fields):
        at = now_ms()
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{at:.1f} +{at - self.start:8.1f} {who:<12} {what} {text}\n".rstrip() + "\n")
        self.file.flush()
        return at


class Discovery:
    """The bulletin: server-sent events from the number after Last-Event-ID, a comment each second."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.told_at = {}
        self.streams = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, members, complete=False):
        """Puts an event into the bulletin; it counts as told from now on."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"revision": number, "complete": complete, "members": members}})
        self.told_at[number] = self.record("discovery", "event", no=number,
                                           members=",".join(f"{m['id']}:{m['phase']}" for m in members))
        for event in list(self.streams):
            event.set()

    async def serve(self, reader, writer):
        wake = asyncio.Event()
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            last = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":", 1)[1])
            self.record("discovery", "subscribed", after=last)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n"
                         b"connection: close\r\n\r\n")
            self.streams.add(wake)
            while True:
                wake.clear()
                while last < len(self.events):
                    event = self.events[last]
                    last = event["no"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                    self.record("discovery", "sent", no=last)
                await writer.drain()
                try:
                    await asyncio.wait_for(wake.wait(), 1.0)
                except asyncio.TimeoutError:
                    writer.write(b": still here\n\n")
                    await writer.drain()
                    if reader.at_eof():
                        return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.streams.discard(wake)
            if writer.get_extra_info("socket").fileno() >= 0 and not STOPPING:
                writer.close()


class Server:
    """A media server. It answers set-ups, holds sessions, and tells a session's end on the connection of its set-up,
    or else on any open connection, and also on the next connection that is opened."""

    def __init__(self, name, record, cell, set_up_ms=60):
        self.name, self.record, self.cell, self.set_up_ms = name, record, cell, set_up_ms
        self.sessions = {}          # session -> writer of its set-up, or None
        self.open_set_ups = {}
        self.next_ends = {}         # ends that are told on the next connection too
        self.writers = []
        self.full = False           # another program takes its link: it turns set-ups away
        self.set_ups = []           # (time of the first byte, session), as the page counts for drains
        self.ends = {}              # session -> time of the first release written
        self.connections = 0

    async def start(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=self.listener.dup())
        self.vanished = False
        self.draining = False       # it completes its work and turns set-ups away as full
        self.fillers = []

    def die(self):
        """The process ends: it resets its connections and cuts its sessions; nothing listens any more."""
        self.record(self.name, "dies", sessions=len(self.sessions))
        self.vanished = True
        self.sessions.clear()
        self.next_ends.clear()
        self.server.close()
        self.listener.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def vanish(self):
        """The machine goes silent: open connections stay open, new ones never come up, and its sessions are lost."""
        self.record(self.name, "vanishes", sessions=len(self.sessions))
        self.vanished = True
        for writer in self.writers:
            writer.transport.pause_reading()
        for task, _ in self.open_set_ups.values():
            task.cancel()
        self.open_set_ups.clear()
        self.sessions.clear()
        self.next_ends.clear()
        self.server.close()         # closes its own descriptor; the socket goes on listening, and nobody accepts
        self.listener.listen(0)
        for _ in range(2):          # fills the queue of connections, so that the next ones get no answer
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    async def come_back(self):
        """Another process starts at the same address; it knows nothing of what was before."""
        for filler in self.fillers:
            filler.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.listener.close()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(128)
        self.vanished = False
        self.up_since = int(self.record(self.name, "starts again"))
        self.server = await asyncio.start_server(self.serve, sock=self.listener.dup())

    def member(self, phase="SERVING", up_since=0):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": "north-hall",
                "flavor": "std-2core", "cell": self.cell, "phase": phase, "size": 2, "up_since_ms": up_since}

    def use(self):
        """What is asked of its link and of its rack's uplink, over what they give."""
        return (1.25, 0.6) if self.full else (0.05 * len(self.sessions), 0.02 * len(self.sessions))

    def report(self):
        return f"inflight:{len(self.sessions)};x0:{self.use()[0]:.2f};x1:{self.use()[1]:.2f}"

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        first_byte = [0]
        self.record(self.name, "connection", number=self.connections)
        try:
            for session in list(self.next_ends):
                self.write_end(session, writer)
            self.next_ends.clear()
            while True:
                kind, session, params = await read_message(reader, first_byte)
                if kind != TEST:
                    self.record(self.name, "received " + NAMES.get(kind, str(kind)), id=f"{session:016x}")
                if kind == SET_UP:
                    self.set_ups.append((first_byte[0], session))
                    task = asyncio.get_running_loop().create_task(self.answer(writer, session, params))
                    self.open_set_ups[session] = (task, writer)
                elif kind == TEST:
                    writer.write(encode(TEST_RESULT, session, [(P_CAUSE, 1), (P_REPORT, self.report())]))
                elif kind == RELEASE:
                    if session in self.open_set_ups:
                        self.open_set_ups.pop(session)[0].cancel()
                    if session in self.sessions:
                        del self.sessions[session]
                    self.next_ends.pop(session, None)
                    writer.write(encode(RELEASE_HEARD, session))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if STOPPING:
                return
            self.writers.remove(writer)
            for session, (task, owner) in list(self.open_set_ups.items()):
                if owner is writer:
                    task.cancel()
                    del self.open_set_ups[session]
            writer.close()

    async def answer(self, writer, session, params):
        if not self.draining:
            await asyncio.sleep(self.set_up_ms / 1000)
        self.open_set_ups.pop(session, None)
        if self.full or self.draining:
            self.record(self.name, "sent release", id=f"{session:016x}", cause=34)
            writer.write(encode(RELEASE, session, [(P_CAUSE, 34), (P_REPORT, self.report())]))
            return
        self.sessions[session] = writer
        self.record(self.name, "sent answer", id=f"{session:016x}")
        writer.write(encode(ANSWER, session, [(P_DESCRIPTION, f"{self.name}/{session:016x}"),
                                              (P_REPORT, self.report())]))

    def write_end(self, session, writer):
        at = self.record(self.name, "sent release", id=f"{session:016x}", cause=16)
        self.ends.setdefault(session, at)
        writer.write(encode(RELEASE, session, [(P_CAUSE, 16), (P_REPORT, self.report())]))

    def end(self, session):
        """The session has come to its end."""
        owner = self.sessions.pop(session)
        self.record(self.name, "session ends", id=f"{session:016x}")
        self.next_ends[session] = True
        if owner in self.writers:
            self.write_end(session, owner)
        elif self.writers:
            self.write_end(session, self.writers[-1])

    def tell(self):
        """A server with sessions tells how full its link and its rack's uplink are, on one of them."""
        if self.sessions and self.writers and not self.vanished:
            session, owner = next(iter(self.sessions.items()))
            writer = owner if owner in self.writers else self.writers[-1]
            for kind, figure in zip(("nic", "tor"), self.use()):
                writer.write(encode(NOTE, session, [(P_NOTE, kind), (P_FIGURE, f"{figure:.3f}")]))


async def notes(servers, told=None, every_ms=2750):
    """All servers tell at the same time, each family_info.tell; `told` is set each time."""
    while True:
        await asyncio.sleep(every_ms / 1000)
        for server in servers:
            server.tell()
        if told:
            told.set()


class Viewers:
    """One connection of viewers to the front node, and all that came on it."""

    def __init__(self, name, record, address):
        self.name, self.record, self.address = name, record, address
        self.got = []               # (time, type, session, params)
        self.closed_at = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.record(self.name, "opened")
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                kind, session, params = await read_message(self.reader)
                cause = params.get(P_CAUSE, b"\0")[0]
                at = self.record(self.name, "received " + NAMES.get(kind, str(kind)), id=f"{session:016x}",
                                 cause=cause)
                self.got.append((at, kind, session, params))
                if kind == RELEASE:
                    self.writer.write(encode(RELEASE_HEARD, session))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            self.closed_at = self.record(self.name, "closed by the other side or reset")

    def set_up(self, session, cls, title, home, copies, wait_ms=3000, at=None, description=b"hello"):
        figures = f"home:{home};copies:{copies};top:4;viewer:{random.getrandbits(64):016x}"
        if at:
            figures += f";at:{at}"
        self.record(self.name, "sent set-up", id=f"{session:016x}", cls=cls, home=home, copies=copies, at=at or "-")
        params = [(P_CLASS, cls), (P_TITLE, title), (P_FIGURES, figures), (P_DESCRIPTION, description)]
        if not at:
            params.insert(1, (P_WAIT, str(wait_ms)))
        self.writer.write(encode(SET_UP, session, params))

    def release(self, session, cause=16):
        self.record(self.name, "sent release", id=f"{session:016x}", cause=cause)
        self.writer.write(encode(RELEASE, session, [(P_CAUSE, cause)]))

    def test(self):
        self.writer.write(encode(TEST, 0, [(P_CAUSE, 0)]))

    def close(self):
        self.record(self.name, "closes its connection")
        self.task.cancel()
        self.writer.close()

    def reset(self):
        """The network resets the connection."""
        self.record(self.name, "connection reset by the network")
        self.task.cancel()
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def first(self, session, kinds=(ANSWER, RELEASE)):
        for at, kind, got, params in self.got:
            if got == session and kind in kinds:
                return at, kind, params
        return None


def free_address():
    """A loopback address of its own and a free port there, so that no other run can take the port in between."""
    host = "127." + ".".join(str(byte % 254 + 1) for byte in os.urandom(3))
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, probe.getsockname()[1]


def settings(**changes):
    """The settings of a small deployment: shared-scoreboard, with the figures of the wire page's example."""
    classes = []
    for name, target, effect, value in (("highlight", 1000.0, "repeatable", 1.0),
                                        ("radio-replay", 800.0, "repeatable", 1.0),
                                        ("paid-replay", 1500.0, "once", 3.0)):
        classes.append({"effect": effect, "group": "all", "hard_limit": 3000.0, "late_worth": 0.0, "name": name,
                        "stream": True, "target": target, "value": value, "window": 5000.0})
    result = {
        "az": "north-hall", "balancers": 3, "classes": classes, "clients": {"marks_retry": False},
        "discovery": "automatic",
        "family_info": {"cells": 12, "change_costs_s": 0.98, "class_floor": [0, 0, 1], "class_seats": [0, 0, 0],
                        "class_top": [4, 4, 4], "is_live": [False, False, False], "join": 1.0,
                        "level_kb": [189.0, 325.0, 561.0, 966.0, 1665.0], "links_kb": 78725.0,
                        "places_by_kind": [24], "rack_kb": 16375.0, "racks": 3, "refuses_from": 1.2,
                        "scale_by_class": [1.0, 1.0, 1.2], "stall": 7.0, "tell": 2750.0, "told_late": 830.284,
                        "weight_kb": 3159.0, "worth_by_rung": [0.17, 0.41, 0.62, 0.81, 1.0]},
        "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
        "granularity": 10.0, "kind_of_service": "streams", "layers": ["replay-fleet"],
        "limits": {"cancel": True, "conn_idle": 15000.0, "connect_timeout": 250.0, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 400000, "max_attempts": 5, "max_open": 1000000, "max_retry_after": 2000.0,
                   "max_streams": 1048576, "may_duplicate": False, "peers": False, "probing": True,
                   "retry_after": True},
        "me": 0, "models": ["std-2core"], "over_share_worth": 0.1,
        "penalties": {"connection": 0.0, "cross_zone": 0.04, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.05,
                      "moves": 0.05, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.0},
        "report": {"how": "inline", "names": ["inflight", "x0", "x1"]},
        "safety": {"ask_within": 10000.0, "cold": 12000.0, "cold_share": 0.4, "drain_grace": 250.0, "fall": 1500.0,
                   "grace_to_answer": 40.0, "tip_multiple": 2.0},
        "stage": 0, "tenants": [], "weights": "nominal", "worth_by": "request",
        "zones": ["north-hall", "east-hall", "south-hall"]}
    result.update(changes)
    return result


class Node:
    """The front node, started by the line `run` of the deploy file."""

    def __init__(self, record, folder, discovery_port, known, memory_mb=192, sockets=1024, site=None):
        self.record, self.folder = record, folder
        self.address = free_address()
        self.listen = f"{self.address[0]}:{self.address[1]}"
        self.config = os.path.join(folder, "config.json")
        self.body = {"name": "n0", "listen": self.listen, "seed": "8c1f30d27a5be964",
                     "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                     "bulletin": f"127.0.0.1:{discovery_port}",
                     "known": {"no": len(known), "items": known}, "settings": site or settings()}
        with open(self.config, "w", encoding="utf-8") as out:
            json.dump(self.body, out)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
            run = next(line for line in deploy if line.startswith("run = "))
        run = json.loads(run[len("run = "):].strip())
        own = os.path.join(self.folder, "tmp")
        os.mkdir(own)
        env = dict(os.environ, EDGE_NAME="n0", EDGE_LISTEN=self.listen, EDGE_CONFIG=self.config,
                   TMPDIR=own)
        self.log = open(os.path.join(self.folder, "node.log"), "w+", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record("node", "started", pid=self.process.pid)

    async def ready(self, limit_s=30):
        """Returns once the node has passed a test."""
        end = time.time() + limit_s
        while time.time() < end:
            if self.process.poll() is not None:
                raise CouldNotRun("the node ended at its start, see the log lines in the record")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(encode(TEST, 0, [(P_CAUSE, 0)]))
                kind, _, params = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if kind == TEST_RESULT and params[P_CAUSE] == b"\1":
                    self.record("node", "passed a test")
                    LATE_S[0] = 0
                    return
            except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("the node was not ready in time")

    def signal(self, number):
        self.record("node", "signal", name=signal.Signals(number).name)
        os.kill(self.process.pid, number)

    def stop(self):
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.seek(0)
        for line in self.log.read().splitlines()[-200:]:
            self.record("node.log", line[:300])
        self.log.close()


class CouldNotRun(Exception):
    pass


async def bounded(run, limit_s):
    """The scenario within its time; a run whose own loop came late doesn't count."""
    async def watch():
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            LATE_S[0] = max(LATE_S[0], time.monotonic() - before - 0.02)

    watching = asyncio.get_running_loop().create_task(watch())
    try:
        breaches = await asyncio.wait_for(run, limit_s)
        if LATE_S[0] > 0.2:
            raise CouldNotRun(f"the stand-ins came {LATE_S[0] * 1000:.0f} ms late")
        return breaches
    finally:
        watching.cancel()
        STOPPING.append(True)


def main(scenario, limit_s=115):
    """Runs scenario(record, folder, trouble) -> list of breaches; exits with 1, 0 or 2 as the cases' page asks."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(here, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def interrupted(number, frame):
        raise CouldNotRun("it was ended from outside")

    signal.signal(signal.SIGTERM, interrupted)
    record("case", "begins", trouble=int(trouble))
    nodes = []
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            breaches = asyncio.run(bounded(scenario(record, folder, trouble, nodes), limit_s))
            for breach in breaches:
                record("judge", "BROKEN " + breach)
                print("BROKEN " + breach)
            code = 1 if breaches else 0
        except CouldNotRun as fault:
            record("judge", f"could not run: {fault}")
            print(f"could not run: {fault}")
        except asyncio.TimeoutError:
            record("judge", "could not run: over its time")
            print("could not run: over its time")
        except Exception as fault:      # of the case itself, such as a port that was taken
            record("judge", f"could not run: {fault!r}")
            print(f"could not run: {fault!r}")
        finally:
            for node in nodes:
                node.stop()
    record("judge", "exit", code=code)
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
