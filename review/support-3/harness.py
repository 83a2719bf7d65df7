"""Stand-ins for the platform's store, servers and clients, and a runner for the project's own programs.

Every machine has a loopback address of its own. The store has one address for each machine, so that a script can let
it turn away one machine and serve the others.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# run.sh turns BROKEN into 1, which is also the status of a Python program that fails.
HELD, BROKEN, CANNOT_RUN = 0, 101, 2
LIMIT_S = 115


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the time in seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def send(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_json(self, status, content, headers=()):
        self.send(status, json.dumps(content).encode(), [("Content-Type", "application/json"), *headers])


def serve(handler, ip, port=0, **attributes):
    """Starts an HTTP server; the handler gets the attributes as class members."""
    server = QuietServer((ip, port), type("Handler", (handler,), attributes))
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


class Store:
    """The platform's metadata store: rows-tx, rows-get and rows-feed of tables with empty parts."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.is_turned_away = {}

    def open_address(self, machine, ip):
        self.is_turned_away[machine] = False
        server = serve(StoreHandler, ip, store=self, machine=machine)
        return f"{ip}:{server.server_address[1]}"

    def write(self, changes):
        """Applies changes (table, key, value or None) as one transaction."""
        with self.changed:
            self.version += 1
            for table, key, value in changes:
                self.rows[(table, key)] = (value, self.version)
            self.changed.notify_all()
            return self.version

    def put(self, table, key, content):
        version = self.write([(table, key, json.dumps(content).encode())])
        self.record.say(f"store acknowledges {table}/{key} = {json.dumps(content)} (ver {version})")
        return time.monotonic()

    def drop(self, table, key):
        version = self.write([(table, key, None)])
        self.record.say(f"store acknowledges the removal of {table}/{key} (ver {version})")
        return time.monotonic()

    def changes_after(self, table, after):
        found = [(row_version, key, value) for (row_table, key), (value, row_version) in self.rows.items()
                 if row_table == table and row_version > after]
        return [encode_row(table, key, value, row_version) for row_version, key, value in sorted(found, key=lambda r: r[:2])]


def encode_row(table, key, value, version):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}


class StoreHandler(QuietHandler):
    store = None
    machine = ""

    def turn_away(self):
        if self.store.is_turned_away[self.machine]:
            self.send(503)
            return True
        return False

    def do_GET(self):
        if self.turn_away():
            return
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        store = self.store
        if url.path == "/-/rows-get":
            with store.changed:
                rows = [encode_row(table, key, value, version)
                        for (table, key), (value, version) in sorted(store.rows.items())
                        if table == query["table"] and value is not None and key >= query.get("from", "")]
                version = store.version
        elif url.path == "/-/rows-feed":
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            with store.changed:
                rows = store.changes_after(query["table"], int(query["after_rev"]))
                while not rows and time.monotonic() < until:
                    store.changed.wait(until - time.monotonic())
                    rows = store.changes_after(query["table"], int(query["after_rev"]))
                version = store.version
            if self.turn_away():
                return
        else:
            self.send(404)
            return
        self.send_json(200, {"rows": rows, "has_more": False, "ver": version,
                             "now_ms": int(time.monotonic() * 1000)})

    def do_POST(self):
        body = json.loads(self.read_body())
        if self.turn_away():
            return
        store = self.store
        with store.changed:
            for row in body.get("expected_rev", []):
                value, version = store.rows.get((row["table"], row["key"]), (None, 0))
                if row["ver"] != (0 if value is None else version):
                    self.send_json(412, {"rows": [], "ver": store.version})
                    return
            version = store.write(
                [(row["table"], row["key"], base64.b64decode(row["value"])) for row in body.get("set_keys", [])]
                + [(row["table"], row["key"], None) for row in body.get("remove", [])])
        self.send_json(200, {"ver": version, "now_ms": int(time.monotonic() * 1000)})


def look_up(fields, path):
    found = fields
    for part in path.split("."):
        found = found[int(part)] if isinstance(found, list) else found.get(part)
        if found is None:
            return None
    return found


def render(template, fields):
    """Fills in a settings template as the platform does; sections are rendered once if their value is present."""

    def section(match):
        return match.group(2) if look_up(fields, match.group(1)) else ""

    def value(match):
        found = look_up(fields, match.group(1))
        return "" if found is None else ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def read_role(role):
    """Returns the words of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        section = file.read().split(f"[roles.{role}]", 1)[1].split("[", 1)[0]
    return dict(re.findall(r'^(\w+) = "(.*)"$', section, flags=re.M))


class Process:
    """One of the project's programs on a machine of its own, started with the command of the deploy file."""

    def __init__(self, role, machine, fields, folder, record):
        deployed = read_role(role)
        settings = os.path.join(folder, machine + ".ini")
        with open(os.path.join(ROOT, deployed["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = [word if word != "/etc/pomelohoist/node.toml" else settings for word in deployed["run"].split()]
        self.machine = machine
        self.record = record
        self.log_path = os.path.join(folder, machine + ".log")
        self.process = None

    def start(self):
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the programs are not built: " + self.command[0])
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.say(f"{self.machine} starts")

    def signal(self, number):
        self.record.say(f"{self.machine} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_tail(self):
        if not os.path.exists(self.log_path):
            return "none"
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return " | ".join(line.strip() for line in log.readlines()[-5:])

    def events(self, names):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return [line.strip() for line in log if any(f'"event":"{name}"' in line for name in names)]


BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 188, "retry_window_s": 10, "drain_ms": 2000,
          "contact_ms": 3000, "config_apply_ms": 2000}


class Case:
    """Runs a script: a work folder, the store, the machines and the end of all processes."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="pomelohoist-review-")
        self.store = Store(self.record)
        self.processes = []
        self.subnet = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.machines = 0
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.taken_ports = set()
        self.inner_port = self.free_port(self.subnet + ".1")
        self.seeds = []

    def free_port(self, ip):
        """Returns a port that no machine of this case uses: a machine binds some of its ports later."""
        while True:
            with socket.socket() as probe:
                probe.bind((ip, 0))
                port = probe.getsockname()[1]
            if port not in self.taken_ports:
                self.taken_ports.add(port)
                return port

    def open_store(self, machine, ip):
        address = self.store.open_address(machine, ip)
        self.taken_ports.add(int(address.rsplit(":", 1)[1]))
        return address

    def next_ip(self):
        self.machines += 1
        return f"{self.subnet}.{self.machines}"

    def add_entry(self, machine, zone="zone-a"):
        ip = self.next_ip()
        fields = {"node": machine, "zone": zone, "ip": ip, "port_range": [self.inner_port, self.inner_port + 15],
                  "seeds": self.seeds, "bounds": BOUNDS, "platform": {"address": self.open_store(machine, ip)},
                  "listen": {"front": f"{ip}:{self.free_port(ip)}", "ready": f"{ip}:{self.free_port(ip)}"}}
        if len(self.seeds) < 3:
            self.seeds = self.seeds + [f"{ip}:{self.free_port(ip)}"]
        process = Process("entry", machine, fields, self.work, self.record)
        process.front = fields["listen"]["front"]
        process.ready = fields["listen"]["ready"]
        self.processes.append(process)
        return process

    def add_rank(self, machine, app, service, zone="zone-a"):
        ip = self.next_ip()
        fields = {"node": machine, "zone": zone, "ip": ip, "port_range": [self.inner_port, self.inner_port + 15],
                  "seeds": self.seeds, "bounds": BOUNDS, "app": app, "service": service,
                  "platform": {"address": self.open_store(machine, ip)}}
        process = Process("rank", machine, fields, self.work, self.record)
        self.processes.append(process)
        return process

    def wait_ready(self, entries, limit_s=20):
        until = time.monotonic() + limit_s
        for entry in entries:
            while call(entry.ready, "GET", "/-/ready").status != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.machine} is not ready")
                time.sleep(0.1)

    @staticmethod
    def stop(number, _frame):
        raise CannotRun(f"it was stopped by {signal.Signals(number).name}")

    def run(self, play):
        result = CANNOT_RUN
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.stop)
        watchdog = threading.Timer(LIMIT_S, os.kill, (os.getpid(), signal.SIGTERM))
        watchdog.daemon = True
        watchdog.start()
        try:
            result = play(self)
        except CannotRun as reason:
            self.record.say(f"the case could not run: {reason}")
        except Exception as error:  # pylint: disable=broad-except
            self.record.say(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            for process in self.processes:
                if result == CANNOT_RUN:
                    self.record.write(f"end of the log of {process.machine}: {process.log_tail()}")
                process.end()
            shutil.rmtree(self.work, ignore_errors=True)
        self.record.say(f"the rule was {'broken' if result == BROKEN else 'kept'}" if result != CANNOT_RUN else "no result")
        sys.stdout.flush()
        os._exit(result)


class Answer:
    """What a client got: status 0 stands for a channel that ended without a complete answer."""

    def __init__(self, status, headers, body, reason=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.reason = reason


def call(address, method, path, headers=(), body=b"", timeout=10.0):
    """Sends one request on a channel of its own and reads the whole answer."""
    ip, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((ip, int(port)), timeout=1.0) as channel:
            channel.settimeout(timeout)
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            channel.sendall(head.encode() + b"\r\n" + body)
            return read_answer(channel)
    except OSError as error:
        return Answer(0, {}, b"", type(error).__name__)


def read_answer(channel):
    received = b""
    while b"\r\n\r\n" not in received:
        piece = channel.recv(65536)
        if not piece:
            return Answer(0, {}, received, "the channel ended before an answer")
        received += piece
    head, body = received.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    status = int(lines[0].split(" ")[1])
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        piece = channel.recv(65536)
        if not piece:
            return Answer(0, headers, body, "the channel ended within the answer")
        body += piece
    return Answer(status, headers, body)
