"""Two of twelve servers go silent during a deploy; one event of the bulletin tells that they are gone and that two
others drain."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as p  # noqa: E402

SERVERS, VANISHING, DRAINING = 12, (4, 7), (0, 10)
SILENT_S = 10           # a machine goes silent for 8 to 30 s, a fifth of them at most
NOTICE_S = 6.3          # the list tells of a silent server after 4.1 to 14 s
ADD_S = 1               # and of one that has started after 0.35 to 1.6 s
DRAIN_S = 4.8           # a deploy lets a server drain for 2.1 to 4.8 s
NOTICE_OF_END_S = 1     # the list tells of an end that could be seen after 0.62 to 3.2 s
GRACE_MS = 250 + 50     # safety.drain_grace, and 50 ms on sockets


async def scenario(record, folder, trouble, nodes):
    random.seed(7)
    discovery = p.Discovery(record)
    await discovery.start()
    servers = [p.Server(f"s-{i:08x}", record, i) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery.add([s.member() for s in servers], complete=True)
    node = p.Node(record, folder, discovery.port, list(discovery.events))
    nodes.append(node)
    node.start()
    await node.ready()
    viewers = await p.Viewers("viewers", record, node.address).open()
    told_links = asyncio.Event()
    running = [asyncio.get_running_loop().create_task(p.notes(servers, told_links))]

    async def traffic():
        number = 0x1000
        while True:
            number += 1
            home = random.randrange(SERVERS)
            cls = random.choices(("highlight", "radio-replay", "paid-replay"), (45, 30, 25))[0]
            viewers.set_up(number, cls, f"{home:016x}", home, 3)
            await asyncio.sleep(random.uniform(0.1, 0.3))

    running.append(asyncio.get_running_loop().create_task(traffic()))
    await asyncio.sleep(8)
    told_links.clear()
    await told_links.wait()
    await asyncio.sleep(0.05)
    silent, draining = [servers[i] for i in VANISHING], [servers[i] for i in DRAINING]
    if any(not server.sessions for server in silent):
        raise p.CouldNotRun("a server that is to vanish holds no session")

    async def outage():
        for server in silent:
            server.vanish()
        await asyncio.sleep(SILENT_S)
        for server in silent:
            await server.come_back()
        await asyncio.sleep(ADD_S)
        discovery.add([s.member(up_since=s.up_since) for s in silent])

    if trouble:
        running.append(asyncio.get_running_loop().create_task(outage()))
    await asyncio.sleep(NOTICE_S)
    discovery.add([s.member("DELETED") for s in silent if trouble] + [s.member("DRAINING") for s in draining])
    told = p.now_ms()
    for server in draining:
        server.draining = True
    await asyncio.sleep(DRAIN_S)
    for server in draining:
        server.die()
    await asyncio.sleep(NOTICE_OF_END_S)
    discovery.add([s.member("DELETED") for s in draining])
    await asyncio.sleep(3)
    for task in running:
        task.cancel()
    if viewers.closed_at:
        raise p.CouldNotRun("the connection of the viewers was closed")
    return [f"drain: set-up {session:016x} reached {s.name} {at - told:.0f} ms after the node was told that it drains, "
            f"{GRACE_MS} ms allowed" for s in draining for at, session in s.set_ups if at > told + GRACE_MS]


p.main(scenario)
