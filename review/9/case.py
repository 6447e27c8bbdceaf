"""A server goes silent and a new one takes its address; the bulletin lists the new one long before it misses the old one."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'stand2'))
from stand import *  # noqa: E402,F403

ADDED_S, GONE_S = 1.5, 12.0    # within add_s = [0.35, 1.6] and silent_notice_s = [4.1, 14] of the site
TITLES = ['7f3a9c21e0b4d6%02x' % i for i in range(4)]


async def play(record, nodes):
    bulletin = await Bulletin(record).start()
    old = [await Server(record, 's-%d' % i, cell=0, life_s=(12, 16)).start() for i in range(6)]
    for server in old:
        server.places, server.capacity_kb = 120, 40000.0
    bulletin.publish([server.member() for server in old], complete=True)
    node = Node(record, bulletin, settings(
        cells=2, family_info__places_by_kind=[120], family_info__weight_kb=40000.0, family_info__links_kb=240000.0,
        family_info__rack_kb=240000.0))
    nodes.append(node)
    await node.start()
    await asyncio.sleep(4)
    client = await Client(record, node).connect()
    stop = asyncio.Event()

    async def viewers():
        count = 0
        while not stop.is_set():
            count += 1
            client.ask('highlight' if count % 2 else 'radio-replay', TITLES[count % 4], 0)
            await asyncio.sleep(0.04)

    asking = asyncio.ensure_future(viewers())
    await asyncio.sleep(10)
    lost = []
    first = old[0]
    if TROUBLE:
        port = first.port
        first.vanish()
        new = await Server(record, 's-new', cell=0, life_s=(12, 16)).start(port)
        new.places, new.capacity_kb = 120, 40000.0
        started = now_ms()
        record('s-new runs at the address of s-0')
        await asyncio.sleep(ADDED_S)
        bulletin.publish([new.member(since=int(started))])
        await asyncio.sleep(GONE_S - ADDED_S)
        bulletin.publish([first.member(phase='DELETED')])
        await asyncio.sleep(4)
        record.say(len(first.ended), 'sessions were cut when s-0 went silent')
    else:
        await asyncio.sleep(GONE_S + 4)
    stop.set()
    await asking
    await asyncio.sleep(1)
    judged = 0
    for server in old + ([new] if TROUBLE else []):
        for session, (ended, cause) in server.ended.items():
            if cause == 'released by the node' or session not in client.answers or session in client.moved:
                continue
            released = client.released.get(session)
            took = (released[0] if released else now_ms()) - ended
            judged += 1 if released or took > 8050 else 0
            if took > 8050:
                record.say('%016x at %s (%s) %s %.0f ms after its end' % (
                    session, server.name, cause, 'released' if released else 'NOT released', took))
                lost.append(session)
    record.say('ends of sessions that were judged:', judged)
    words = [a[1] for a in client.answers.values()]
    record.say('asked', len(client.asked), 'served', words.count('served'))
    record.say('sessions that were not released within 8 s of their end:', len(lost))
    return bool(lost)


run_case(FOLDER, play)
