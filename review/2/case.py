"""A viewers' connection is reset while idle; the session on it ends while the viewers' new connection has been refused."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as p  # noqa: E402

SESSIONLESS_MS = 4000   # viewers close a connection with no session on it after 4 s
LIMIT_MS = 1000 + 50    # released towards its client within 1 s of the release by the server, and 50 ms on sockets


async def scenario(record, folder, trouble, nodes):
    discovery = p.Discovery(record)
    await discovery.start()
    servers = [p.Server(f"s-{i:08x}", record, i) for i in range(3)]
    for server in servers:
        await server.start()
    discovery.add([s.member() for s in servers], complete=True)
    node = p.Node(record, folder, discovery.port, list(discovery.events))
    nodes.append(node)
    node.start()
    await node.ready()
    asyncio.get_running_loop().create_task(p.notes(servers))
    await asyncio.sleep(4)
    first = await p.Viewers("viewers-1", record, node.address).open()
    first.set_up(0x1001, "highlight", f"{0:016x}", 0, 3)
    await asyncio.sleep(1)
    if first.first(0x1001, (p.ANSWER,)) is None:
        raise p.CouldNotRun("the first session does not stand")
    holder = next(s for s in servers if 0x1001 in s.sessions)
    await asyncio.sleep(2)
    if trouble:
        first.reset()
        connections = [first, await p.Viewers("viewers-2", record, node.address).open()]
    else:
        connections = [first]
    without_session_since = p.now_ms()
    for server in servers:
        server.full = True
    ended_at = None
    for number in range(0x1002, 0x1010):
        here = connections[-1]
        if here is first and first.first(0x1001, (p.RELEASE,)) is None:
            without_session_since = p.now_ms()      # the session stands on it
        if here.closed_at or p.now_ms() - without_session_since > SESSIONLESS_MS - 700:
            here.close()
            here = await p.Viewers(f"viewers-{len(connections) + 1}", record, node.address).open()
            connections.append(here)
            without_session_since = p.now_ms()
        here.set_up(number, "radio-replay", f"{1:016x}", 0, 3)
        await asyncio.sleep(0.7)
        if number == 0x1002:
            holder.end(0x1001)
            ended_at = holder.ends.get(0x1001)
    await asyncio.sleep(1)
    if ended_at is None:
        raise p.CouldNotRun("the server had no connection to tell the end on")
    if connections[1 if trouble else 0].closed_at:
        raise p.CouldNotRun("the front node closed the connection")
    told = [c.first(0x1001, (p.RELEASE,)) for c in connections]
    told = min((message[0] for message in told if message), default=None)
    if told is None or told - ended_at > LIMIT_MS:
        when = "never, though a connection was open" if told is None else f"{told - ended_at:.0f} ms later"
        return [f"lost: session {0x1001:016x} was released by its server, and towards its viewer {when}; "
                f"{LIMIT_MS} ms allowed"]
    return []


p.main(scenario)
