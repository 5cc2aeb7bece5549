"""A reservation that an endpoint ran and failed with its own 503, without
Trefoilbend-Not-Executed, is answered 503, which promises that it has not run."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from fleet import main, response  # noqa: E402

SERVERS = 7
FAILING = 1  # srv_grey, share 0.143
X = 0.45  # part of its requests that such a server fails
PER_S = 60
LENGTH_S = 6.5
PROMISES = (408, 421, 429, 503)
TRIES = 3  # the client's retries: 2


async def fails_after_work(server, message, _reader, writer):
    """Runs each request; then a part fails, as a part of a service does whose
    data base goes away: status 503, signed, and no word that it was not run."""
    request_id = server.note_run(message)
    server.running += 1
    await asyncio.sleep(server.work_s)
    server.running -= 1
    server.count = getattr(server, "count", 0) + 1
    fails = int(server.count * X) > int((server.count - 1) * X)
    writer.write(response(503 if fails else 200,
                          [("Trefoilbend-Request-Id", request_id),
                           ("Trefoilbend-Server-Signature", server.signature(request_id)),
                           *server.load()], server.body))
    return True


async def case(fleet, trouble):
    await fleet.begin(servers=SERVERS, entries=2)
    for server in fleet.servers:
        server.tells_load = False  # as some services do, so that all get their part
    await asyncio.sleep(3.5)
    if trouble:
        for server in fleet.servers[:FAILING]:
            server.act = fails_after_work
    answered = {}

    async def client(number):
        """Books once, and again only after a promise that nothing has run."""
        for attempt in range(TRIES):
            request_id, status, _ = await fleet.call(
                fleet.entries[(number + attempt) % 2], "POST", f"/book/{number}",
                f"booking {number}".encode())
            answered[request_id] = status
            if status not in PROMISES:
                return

    begun, tasks = time.monotonic(), []
    for number in range(int(PER_S * LENGTH_S)):
        tasks.append(asyncio.create_task(client(number)))
        await asyncio.sleep(max(0, begun + (number + 1) / PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    ran = {run[0] for run in fleet.runs}
    false = [one for one, status in answered.items() if status in PROMISES and one in ran]
    times = {}
    for _, first, _, _ in fleet.runs:
        times[first] = times.get(first, 0) + 1
    twice = sum(1 for count in times.values() if count > 1)
    fleet.record.note(f"{len(tasks)} bookings, {len(answered)} attempts, {len(false)} of them answered "
                      f"with a promise and run; {twice} bookings run more than once by sound retries")
    if not false:
        return []
    return [f"REFUSED: {len(false)} of {len(answered)} attempts at a non-idempotent request were "
            f"answered 503 and have run; {twice} of {len(tasks)} bookings ran more than once, since "
            "their clients trusted the promise"]


main(case, os.path.join(FOLDER, "record.txt"))
