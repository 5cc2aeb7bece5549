"""An order for a further version, given while a bad version is being rolled out,
makes the bad version's servers count as the old version's: they get a regular
share of all requests, and nothing takes them back."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from fleet import main, response  # noqa: E402

SERVERS = 4  # of each version
PER_S = 100
BUDGET_S = 16  # Duration of the order, as in the site's days
SHARE, SLACK = 0.1, 50  # ExposureShare, ExposureSlack
ROLLBACK_S = 5  # Rollback
BAD_ANSWERS = 50


async def fails_half(server, message, _reader, writer):
    """A bad version: every second answer is a failure."""
    request_id = server.note_run(message)
    server.running += 1
    await asyncio.sleep(server.work_s)
    server.running -= 1
    server.count = getattr(server, "count", 0) + 1
    bad = server.count % 2 == 0
    if bad:
        server.bad_answers.append(time.monotonic())
    writer.write(response(500 if bad else 200,
                          [("Trefoilbend-Request-Id", request_id),
                           ("Trefoilbend-Server-Signature", server.signature(request_id)),
                           *server.load()], server.body))
    return True


async def order(fleet, version):
    fleet.record.note(f"operator orders {version}")
    await fleet.store.put("op", "rollout/stock", {"Service": "stock", "To": version,
                                                  "Duration": f"{BUDGET_S}s"})


async def add_version(fleet, version, act=None):
    """The servers of a version are started alongside those of the old one."""
    added = []
    for number in range(SERVERS):
        server = await fleet.add_server(f"{version}-{number + 1}", version=version)
        server.act, server.tells_load = act, False
        added.append(server)
    return added


async def case(fleet, trouble):
    await fleet.begin(servers=SERVERS, entries=3)
    for server in fleet.servers:
        server.tells_load = False
    await asyncio.sleep(3.5)
    lost, sent = [], []
    bad_answers = []

    async def client(number):
        entry = fleet.entries[number % 3]
        booking = number % 3 == 0
        path = f"/book/{number}" if booking else f"/read/{number}"
        at = time.monotonic()
        request_id, status, answer = await fleet.call(
            entry, "POST" if booking else "GET", path, b"x" if booking else b"")
        sent.append((request_id, at))
        signature = answer.get("Trefoilbend-Server-Signature") if answer else ""
        if booking and status != 200:
            lost.append((request_id, status, signature))

    async def traffic():
        begun, tasks, number = time.monotonic(), [], 0
        while time.monotonic() - begun < BUDGET_S + 1:
            tasks.append(asyncio.create_task(client(number)))
            number += 1
            await asyncio.sleep(max(0, begun + number / PER_S - time.monotonic()))
        await asyncio.gather(*tasks)

    load = asyncio.create_task(traffic())
    await asyncio.sleep(0.5)
    ordered = time.monotonic()
    await order(fleet, "v2")
    await asyncio.sleep(0.25)
    bad = await add_version(fleet, "v2", fails_half)
    for server in bad:
        server.bad_answers = bad_answers
    if trouble:
        await asyncio.sleep(1.25)
        await order(fleet, "v3")
        await asyncio.sleep(0.25)
        await add_version(fleet, "v3")

    async def status():
        last = None
        while True:
            now = fleet.store.value("status", "rollout/stock")
            if now != last:
                fleet.record.note(f"status/rollout/stock: {now}")
                last = now
            if now and now["To"] == "v2" and now["State"] == "rolled_back":
                await asyncio.sleep(3)  # the new servers drain some seconds later
                for server in bad:
                    await fleet.store.put("servers", server.name, server.entry("draining", 2))
                fleet.record.note("the servers of v2 drain")
                return
            await asyncio.sleep(0.1)

    watch = asyncio.create_task(status())
    marks = []
    while time.monotonic() < ordered + BUDGET_S:
        await asyncio.sleep(1)
        marks.append(sum(len(server.runs) for server in bad))
    reached, exposed = len(fleet.runs), marks[-1]
    await load
    watch.cancel()
    fleet.record.note(f"requests of v2 after each second: {marks}")
    allowed = SHARE * reached + SLACK
    fleet.record.note(f"{reached} requests reached the service, {exposed} of them v2; "
                      f"allowed {allowed:.0f}")
    fleet.record.note(f"bookings that got no 200: {len(lost)}, of them "
                      f"{sum(1 for one in lost if one[2].startswith('v2'))} failed by v2")
    sent_at = dict(sent)
    late = []
    if len(bad_answers) >= BAD_ANSWERS:
        bound = bad_answers[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [run[0] for server in bad for run in server.runs if sent_at.get(run[0], 0) > bound]
    breaches = []
    if exposed > allowed:
        breaches.append(f"EXPOSURE: the bad version v2 got {exposed} of {reached} requests in its "
                        f"time budget, {allowed:.0f} are allowed")
    if late:
        breaches.append(f"EXPOSURE: v2 got {len(late)} requests that were sent later than "
                        f"{ROLLBACK_S} s after its {BAD_ANSWERS}th bad answer")
    return breaches


main(case, os.path.join(FOLDER, "record.txt"))
