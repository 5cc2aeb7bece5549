"""Bodies within MaxBodyBytes make the daemon exceed MemoryMb."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s  # noqa: E402

ZONE = "xela-a"
HOST = "shop.example"
KEPT_CLIENTS = 8
LARGE_CLIENTS = 3
USUAL_BODY = 4000  # mean of glass-reserve in the site file
LARGE_BODY = s.MAX_BODY_BYTES  # the limit of the desired state, not beyond it
WORK_S = 0.4


class Kept(threading.Thread):
    """A client that sends one reservation after the other on one connection."""

    def __init__(self, entry, record, stop):
        super().__init__(daemon=True)
        self.entry, self.record, self.stop = entry, record, stop
        self.cut = []
        self.answered = 0

    def run(self):
        connection = s.Connection(self.entry.listen["Front"])
        while not self.stop.is_set():
            name = s.new_id()
            self.record.line("client sends %s on a connection that has served %d"
                             % (name, connection.served))
            try:
                answer = connection.call("POST", HOST, "/reserve/1", name, 5000, b"x" * USUAL_BODY)
            except OSError:
                answer = None
            if answer is None:
                self.record.line("client: connection closed without an answer to %s" % name)
                if connection.served > 0:
                    self.cut.append(name)
                return
            self.answered += 1
            self.record.line("client gets %s for %s" % (answer.first.split(" ")[1], name))


def upload(entry, record, size):
    name = s.new_id()
    record.say("client sends %s with a body of %d bytes" % (name, size))
    try:
        connection = s.Connection(entry.listen["Front"])
        answer = connection.call("POST", HOST, "/reserve/1", name, 5000, b"y" * size)
        record.say("client gets %s for %s" % (answer.first if answer else "no answer", name))
    except OSError as error:
        record.say("client: connection lost for %s: %s" % (name, error))


def run(platform, record, trouble):
    store = s.Store(platform.host(1), record)
    store.write("op", "config", s.desired_state(
        7, [("r-reserve", HOST, "/reserve/", "non_idempotent", "5000ms", "800ms", "stock", 2)],
        ["stock"]))
    endpoints = [s.Endpoint(platform.host(20 + n), store, "stock", ZONE, record, WORK_S)
                 for n in range(3)]
    seeds = ["%s:8146" % platform.host(10)]
    entry = platform.add_entry(10, ZONE, store, seeds)
    entry.start()
    if not entry.await_ready():
        record.say("cannot run: the entry is not ready")
        return 2
    time.sleep(s.CONTACT_S + 0.5)
    stop = threading.Event()
    clients = [Kept(entry, record, stop) for _ in range(KEPT_CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(3)
    record.say("entry in touch: %s, memory %.0f MB" % (entry.in_touch(s.now()), entry.memory_mb()))

    most = entry.memory_mb()
    size = LARGE_BODY if trouble else USUAL_BODY
    for _ in range(LARGE_CLIENTS):
        threading.Thread(target=upload, args=(entry, record, size), daemon=True).start()
    killed = False
    until = time.monotonic() + 8
    while time.monotonic() < until and entry.running():
        memory = entry.memory_mb()
        most = max(most, memory)
        if memory > s.MEMORY_MB * 1.048576:  # MemoryMb, read as MiB
            record.say("platform kills %s: %.0f MB are more than MemoryMb = %d"
                       % (entry.name, memory, s.MEMORY_MB))
            entry.kill()
            killed = True
        time.sleep(0.002)
    time.sleep(0.5)
    stop.set()
    for client in clients:
        client.join(7)
    cut = [name for client in clients for name in client.cut]
    passed_on = [name for name in cut if any(name in e.runs for e in endpoints)]
    record.say("memory at its peak: %.0f MB; answered on kept connections: %d"
               % (most, sum(c.answered for c in clients)))
    record.say("kept connections closed without an answer: %d, passed on to a sound endpoint: %d"
               % (len(cut), len(passed_on)))
    return s.finish(record, len(passed_on) > 3,
                    "LOST: %d requests from kept connections were passed on to sound endpoints and "
                    "got no answer (three are borne); killed for memory: %s" % (len(passed_on), killed))


s.main(run)
