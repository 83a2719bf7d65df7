"""The last tenant is taken out of the config; afterwards requests run without a key that any config held."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "support-3"))

from harness import BOUNDS, BROKEN, HELD, CannotRun, Case, QuietHandler, call, serve  # noqa: E402

SERVICE = "desk"
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Server(QuietHandler):
    """A sound server: runs each request and answers with its stamp."""

    case = None

    def do_POST(self):
        body = self.read_body()
        request = self.headers.get("X-Pomelohoist-Attempt-Id", "")
        tenant = self.headers.get("X-Pomelohoist-Tenant", "none")
        self.case.ran[request] = tenant
        self.case.record.write(f"server i-desk runs {request} for tenant {tenant}")
        self.send(200, body, [("X-Pomelohoist-Attempt-Id", request),
                              ("X-Pomelohoist-Response-Stamp", f"stamp-{request}")])


def config(version, tenants):
    return {"version": version,
            "routes": [{"name": "orders", "host": HOST, "prefix": "/orders/", "service": SERVICE, "kind": "unsafe",
                        "timeout_ms": 4000, "goal_ms": 1000, "attempts": 1, "priority": 1, "public": False}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 220}], "tenants": tenants,
            "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 30000}}


def send(case, entry, request, key):
    headers = [("Host", HOST), ("X-Pomelohoist-Attempt-Id", request), ("X-Pomelohoist-Deadline-Ms", "4000")]
    headers += [("X-Api-Key", key)] if key else []
    answer = call(entry.front, "POST", "/orders/1", headers, b"order")
    case.record.say(f"client sends {request} with {'key ' + key if key else 'no key'} to {entry.machine}, "
                    f"gets {answer.status} {answer.reason}")
    return answer.status


def play(case):
    case.ran = {}
    ip = case.next_ip()
    server = serve(Server, ip, case=case)
    case.store.put("op", "config", config(3, [{"name": "hule930", "api_keys": [KEY]}]))
    case.store.put("servers", "i-desk", {
        "service": SERVICE, "address": f"{ip}:{server.server_address[1]}", "zone": "zone-a", "version": 1, "slots": 6,
        "state": "ready", "cold_left_ms": 0, "seq": 0, "born": int(time.time() * 1000)})
    entries = [case.add_entry(f"front-{number}") for number in (1, 2)]
    for entry in entries:
        entry.start()
    case.wait_ready(entries)
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    for entry in entries:
        if send(case, entry, f"{entry.machine}-held-before", KEY) != 200:
            raise CannotRun("a request with a key that the config holds was not served")
        if send(case, entry, f"{entry.machine}-unknown-before", "not-a-key-of-any-config") != 401:
            raise CannotRun("a request with an unknown key was served before the change")
    # Without the disruption, only the tenant's key is taken away and the tenant remains.
    case.store.put("op", "config", config(7, [] if case.has_trouble else [{"name": "hule930", "api_keys": []}]))
    time.sleep(BOUNDS["config_apply_ms"] / 1000 + 1.0)
    for entry in entries:
        send(case, entry, f"{entry.machine}-dropped", KEY)
        send(case, entry, f"{entry.machine}-unknown", "not-a-key-of-any-config")
        send(case, entry, f"{entry.machine}-keyless", "")
    wrong = [request for request in case.ran if not request.endswith("-before")]
    case.record.say(f"{len(wrong)} of 6 requests without a valid key ran: {', '.join(wrong)}")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    Case(FOLDER).run(play)
