"""A restarted entry tells its peers rows but not the deletions before its start."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s  # noqa: E402

ZONES = ["xela-a", "xela-b"]
HOST = "shop.example"
SERVICES = ["stock", "catalogo", "dispatch", "fieldlib"]
ENTRIES = 6
ENDPOINTS = 4  # of each service
WORK_S = 0.08
DRAIN_S = 2.0
MARGIN_S = 0.3  # beyond Drain, for the clock of this script
REPLACE_EVERY_S = 0.73  # release in the site file (trouble-1): gap_s
SERVES_ON_S = 12.0  # "a little longer (at times many seconds)"
ROLL_GAP_S = 1.3  # roll_term in the site file: gap_s
CALM_S = 2.5  # between two rounds of restarts
FOR_S = 90.0


class Endpoint(s.Endpoint):
    """Notes when each request arrives, and can leave without a word."""

    removed = None
    ended = False

    def __init__(self, *args):
        self.arrivals = {}
        self.cut = set()
        super().__init__(*args)

    def beat(self):
        if self.removed is None:
            super().beat()

    def answer(self, request):
        name = request.field("Trefoilbend-Request-Id")
        if name and request.field("Trefoilbend-Expect-Instance") == self.id:
            self.arrivals[name] = s.now()
        answer = super().answer(request)
        if self.ended:
            self.cut.add(name)
            raise ConnectionError("the endpoint has ended")
        return answer

    def leave(self):
        """Its entry is removed, without a word before; it serves on for some seconds and ends."""
        self.store.remove("servers", self.id)
        self.removed = s.now()
        timer = threading.Timer(SERVES_ON_S, self.end)
        timer.daemon = True
        timer.start()

    def end(self):
        self.ended = True
        self.server.shutdown()
        self.server.server_close()
        self.record.line("endpoint %s has ended" % self.id)


def name_of(request):
    """Service that a request is for."""
    return SERVICES[int(request, 16) % len(SERVICES)]


def is_reservation(request):
    """Whether a request is a reservation, which must not be repeated."""
    return int(request, 16) // len(SERVICES) % 2 == 1


def client(entry, sent, stop):
    """Sends lookups and reservations in turn to one entry on a kept connection."""
    connection = None
    while not stop.is_set():
        name = s.new_id()
        at = s.now()
        sent[name] = (entry, at, entry.in_touch(at))
        try:
            connection = connection or s.Connection(entry.listen["Front"], 0.5)
            if is_reservation(name):
                answer = connection.call("POST", HOST, "/reserve-%s/1" % name_of(name), name, 1000, b"x" * 4000)
            else:
                answer = connection.call("GET", HOST, "/%s/1" % name_of(name), name, 800)
            if answer is None or answer.field("Connection") == "close":
                connection.close()
                connection = None
        except (OSError, ValueError):
            connection = None
        time.sleep(0.04)


def listens(entry):
    """Whether a peer tells this entry what the store holds, by its metrics."""
    answer = s.ask(entry.ip + ":9464", "GET /metrics", 1.0)
    return b"trefoilbend_store_listens 1" in answer.body


def restart(entry):
    entry.term()
    entry.wait_end()
    time.sleep(0.2)
    entry.start()


def run(platform, record, trouble):
    store = s.Store(platform.host(1), record)
    store.write("op", "config", s.desired_state(
        7, [("r-" + name, HOST, "/%s/" % name, "idempotent", "800ms", "200ms", name, 2)
            for name in SERVICES] +
        [("w-" + name, HOST, "/reserve-%s/" % name, "non_idempotent", "1000ms", "300ms", name, 2)
         for name in SERVICES], SERVICES))
    hosts = iter(("%s.%d" % (platform.net[:platform.net.rindex(".")] + ".%d" % (251 + n // 200), 10 + n % 200))
                 for n in range(600))
    endpoints = []

    def add(service):
        endpoints.append(Endpoint(next(hosts), store, service, ZONES[len(endpoints) % 2], record, WORK_S))

    for _ in range(ENDPOINTS):
        for service in SERVICES:
            add(service)
    seeds = ["%s:8146" % platform.host(10 + n) for n in range(3)]
    entries = [platform.add_entry(10 + n, ZONES[n % 2], store, seeds) for n in range(ENTRIES)]
    for entry in entries:
        entry.start()
    if not all(entry.await_ready() for entry in entries):
        record.say("cannot run: the entries are not ready")
        return 2
    time.sleep(s.CONTACT_S + 1)
    readers = [entry for entry in entries if not listens(entry)]
    record.say("read the store for all, and are restarted in turn: %s" % [e.name for e in readers])
    stop = threading.Event()
    sent = {}
    for entry in entries:
        for _ in range(2):
            threading.Thread(target=client, args=(entry, sent, stop), daemon=True).start()

    def release(service):
        while not stop.is_set():
            time.sleep(REPLACE_EVERY_S)
            add(service)
            next(e for e in endpoints if e.removed is None and e.info["Service"] == service).leave()

    for service in SERVICES:
        threading.Thread(target=release, args=(service,), daemon=True).start()
    until = s.now() + FOR_S
    while s.now() < until:
        workers = []
        for entry in readers:
            if trouble:
                workers.append(threading.Thread(target=restart, args=(entry,)))
                workers[-1].start()
            time.sleep(ROLL_GAP_S)
        for worker in workers:
            worker.join()
        time.sleep(CALM_S)
    stop.set()
    time.sleep(1)
    wrong, by, ghosts, lost = 0, {}, set(), []
    for endpoint in endpoints:
        for name, at in list(endpoint.arrivals.items()):
            entry, began, touched = sent[name]
            if endpoint.removed is None or at - endpoint.removed <= DRAIN_S + MARGIN_S or not touched:
                continue
            wrong += 1
            by[entry.name] = by.get(entry.name, 0) + 1
            ghosts.add(endpoint.id)
            lost += [name] if name in endpoint.cut and is_reservation(name) else []
            record.line("WRONG %s sent to %s at %.3f reaches %s %.2f s after its entry was removed"
                        % (name, entry.name, began, endpoint.id, at - endpoint.removed))
    record.say("requests sent: %d; endpoints that left: %d; of these still used: %d; reservations that were "
               "at work there and lost as it ended: %d"
               % (len(sent), sum(e.removed is not None for e in endpoints), len(ghosts), len(lost)))
    return s.finish(record, wrong > 0,
                    "DRAIN: %d requests reached an endpoint later than Drain after its entry was removed, "
                    "taken and sent on by machines in touch: %s" % (wrong, by))


s.main(run)
