"""A server leaves while the store turns one machine away; the other machines send it work again afterwards."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "support-3"))

from harness import BOUNDS, BROKEN, HELD, Case, QuietHandler, call, serve  # noqa: E402

SERVICE = "desk"
HOST = "desk.example"
WORK_S = 0.3
TURNED_AWAY_S = 4.0


class Server(QuietHandler):
    """A sound server: runs what names it as the expected instance, and answers with its stamp."""

    case = None
    instance = ""
    is_gone = None

    def do_POST(self):
        body = self.read_body()
        request = self.headers.get("X-Pomelohoist-Attempt-Id", "")
        record = self.case.record
        if self.headers.get("X-Pomelohoist-Expect-Instance", self.instance) != self.instance:
            self.send(421, headers=[("X-Pomelohoist-Instance-Id", self.instance)])
            return
        self.case.arrivals.append((time.monotonic(), request, self.instance))
        record.write(f"server {self.instance} runs {request}")
        time.sleep(WORK_S)
        if self.is_gone.is_set():
            self.close_connection = True
            return
        self.send(200, body, [("X-Pomelohoist-Attempt-Id", request),
                              ("X-Pomelohoist-Response-Stamp", f"stamp-{self.instance}-{request}")])
        record.write(f"server {self.instance} has answered {request}")


class Fleet:
    """The servers of the service and their registrations."""

    def __init__(self, case):
        self.case = case
        self.servers = {}

    def add(self, instance):
        ip = self.case.next_ip()
        is_gone = threading.Event()
        server = serve(Server, ip, case=self.case, instance=instance, is_gone=is_gone)
        self.servers[instance] = (server, is_gone)
        self.case.store.put("servers", instance, {
            "service": SERVICE, "address": f"{ip}:{server.server_address[1]}", "zone": "zone-a", "version": 1,
            "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": int(time.time() * 1000)})

    def exit(self, instance):
        server, is_gone = self.servers[instance]
        is_gone.set()
        server.shutdown()
        server.server_close()
        self.case.record.say(f"server {instance} exits")


def config(version, timeout_ms):
    return {"version": version,
            "routes": [{"name": "orders", "host": HOST, "prefix": "/orders/", "service": SERVICE, "kind": "unsafe",
                        "timeout_ms": timeout_ms, "goal_ms": 1000, "attempts": 1, "priority": 1}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 220}],
            "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 30000}}


class Client(threading.Thread):
    """Sends orders to one machine, one after the other."""

    def __init__(self, case, entry, number):
        super().__init__(daemon=True)
        self.case = case
        self.entry = entry
        self.name = f"{entry.machine}-{number}"

    def run(self):
        number = 0
        while not self.case.is_over.is_set():
            number += 1
            request = f"{self.name}-{number}"
            sent = time.monotonic()
            self.case.sent[request] = sent
            self.case.record.write(f"client sends {request} to {self.entry.machine}")
            answer = call(self.entry.front, "POST", "/orders/1", [
                ("Host", HOST), ("X-Pomelohoist-Attempt-Id", request), ("X-Pomelohoist-Deadline-Ms", "4000")], b"order")
            self.case.answers[request] = answer.status
            self.case.record.write(f"client gets {answer.status} for {request} {answer.reason}")
            time.sleep(0.02)


def play(case):
    case.sent, case.answers, case.arrivals = {}, {}, []
    case.is_over = threading.Event()
    fleet = Fleet(case)
    case.store.put("op", "config", config(3, 4000))
    fleet.add("i-left")
    fleet.add("i-stays")
    reader, *others = [case.add_entry(f"front-{number}") for number in (1, 2, 3)]
    for entry in (reader, *others):
        entry.start()
    case.wait_ready((reader, *others))
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    for entry in others:
        for number in range(4):
            Client(case, entry, number).start()
    time.sleep(1.0)

    if case.has_trouble:
        case.store.is_turned_away[reader.machine] = True
        case.record.say(f"the store turns {reader.machine} away with 503 and serves the others")
    begin = time.monotonic()
    time.sleep(1.0)
    gone_at = case.store.drop("servers", "i-left")
    time.sleep(0.8)
    fleet.add("i-new")
    time.sleep(0.8)
    case.store.put("op", "config", config(5, 4100))
    time.sleep(max(0.0, begin + TURNED_AWAY_S - time.monotonic()))
    if case.has_trouble:
        case.store.is_turned_away[reader.machine] = False
        case.record.say(f"the store serves {reader.machine} again")
    time.sleep(0.9)
    fleet.exit("i-left")
    time.sleep(3.0)
    case.is_over.set()
    time.sleep(1.0)

    bound = gone_at + BOUNDS["drain_ms"] / 1000
    late = [(at, request) for at, request, instance in case.arrivals if instance == "i-left" and at > bound]
    lost = [request for _, request in late if case.answers.get(request) != 200]
    for at, request in late:
        case.record.write(f"late: {request} reached i-left {at - gone_at:.3f} s after its removal, "
                          f"client got {case.answers.get(request)}")
    served = sum(1 for status in case.answers.values() if status == 200)
    case.record.say(f"{len(case.sent)} orders sent, {served} answered 200, {len(late)} ran at i-left later than "
                    f"{BOUNDS['drain_ms']} ms after its removal, {len(lost)} of these lost")
    for line in reader.events(["endpoints_applied", "store_recovered"]) + others[0].events(["endpoints_applied"]):
        case.record.write("log " + json.dumps(json.loads(line)))
    return BROKEN if late else HELD


if __name__ == "__main__":
    Case(FOLDER).run(play)
