"""Six in ten servers of a large fleet are replaced within 7 s; the bulletin tells each change as an event of its own."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'stand2'))
from stand import *  # noqa: E402,F403

FLEET = int(os.environ.get('FLEET', '3200'))    # 3,200 at most
REPLACED_S = 7.0
SHARE = 0.6
# Changes in an event. The page's own example holds one server; the operators may try more.
GRAIN = int(os.environ.get('GRAIN', '1'))
WAIT_MS = 1500    # the example of the page
TITLES = ['7f3a9c21e0b4d6%02x' % i for i in range(8)]


def listed(number, generation=0, phase='SERVING', since=0):
    # No viewer of this case wants a title of these servers; nothing listens at their loopback addresses.
    return {'id': 's-%08x' % (number + generation * 0x10000), 'locality': 'north', 'flavor': 'std',
            'host_port': '127.%d.%d.%d:3868' % (20 + generation, number // 250, number % 250 + 1),
            'cell': 2 + number // 8, 'phase': phase, 'size': 1, 'up_since_ms': since}


async def play(record, nodes):
    bulletin = await Bulletin(record).start()
    servers = [await Server(record, 's-%d' % i, cell=i // 3, life_s=(3, 6)).start() for i in range(6)]
    others = FLEET - len(servers)
    bulletin.publish([s.member() for s in servers] + [listed(i) for i in range(others)], complete=True)
    node = Node(record, bulletin, settings(cells=3 + others // 8, family_info__racks=FLEET // 16), sockets=1024)
    nodes.append(node)
    await node.start()
    await asyncio.sleep(4)
    client = await Client(record, node).connect()
    stop = asyncio.Event()

    async def viewers():
        count = 0
        while not stop.is_set():
            count += 1
            client.ask('highlight' if count % 2 else 'radio-replay', TITLES[count % 8], count % 2, wait=WAIT_MS)
            await asyncio.sleep(0.1)

    asking = asyncio.ensure_future(viewers())
    await asyncio.sleep(5)
    if TROUBLE:
        began = now_ms()
        replaced = int(SHARE * others)
        record('the replacement of', replaced, 'servers begins')
        changes = []
        for i in range(replaced):
            for change in (listed(i, 1, since=int(now_ms())), listed(i, phase='DELETED')):
                changes.append(change)
                if len(changes) >= GRAIN:
                    bulletin.publish(changes)
                    changes = []
            await asyncio.sleep(max(0, (began + (i + 1) * REPLACED_S * 1000 / replaced - now_ms()) / 1000))
        record.say('%d servers were replaced in %.1f s' % (replaced, (now_ms() - began) / 1000))
    else:
        await asyncio.sleep(REPLACED_S)
    await asyncio.sleep(15)
    stop.set()
    await asking
    await asyncio.sleep(10)
    lost, slowest = 0, 0
    for session, (asked, _, _, wait) in client.asked.items():
        answer = client.answers.get(session)
        took = (answer[0] if answer else now_ms()) - asked
        slowest = max(slowest, took)
        # Up to half a second after its time a request only earns nothing; 50 ms are the slack of the sockets.
        if took > wait + 550:
            lost += 1
            record('lost: %016x' % session, 'answered %s after %.0f ms' % (answer[1], took) if answer else 'never answered')
    words = [a[1] for a in client.answers.values()]
    record.say('asked', len(client.asked), 'served', words.count('served'), 'refused', words.count('refused'),
               'failed', words.count('failed'), 'slowest %.0f ms' % slowest)
    record.say('requests without an answer %.2f s after they were sent:' % (WAIT_MS / 1000 + 0.55), lost)
    return lost > 0


run_case(FOLDER, play)
