"""Stand-ins for model servers that are ranks of groups, and for the platform that forms the groups."""

import json
import threading
import time

from harness import QuietHandler, serve

SERVICE = "llm"
GROUPS = ("g-0", "g-1")
SETS = 2
EXPERTS = 24
SPARE = 2
STEP_S = 0.05
HOT_TOKENS, COLD_TOKENS = 400, 20


class Engine:
    """A model server. Its fields are guarded by the lock of the platform."""

    def __init__(self, name, platform):
        self.name = name
        self.platform = platform
        self.group = None
        self.rank = 0
        self.is_up = True
        self.start()

    def start(self):
        """A new lifetime: the server knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.seq = 0
        self.highest_version = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.forget_maps()

    def forget_maps(self):
        self.version = 0
        own = [expert for expert in range(EXPERTS) if expert % self.platform.ranks == self.rank]
        self.experts = [own for _ in range(SETS)]
        self.map = None
        self.prepared = None
        self.prepared_at = 0.0
        self.armed = None
        self.held = None

    def prepared_version(self):
        is_copied = self.prepared is not None and time.monotonic() >= self.prepared_at
        return self.prepared[0] if is_copied else 0

    def report(self):
        group = self.group
        state = {"born": self.born, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                 "busy": False, "seq": self.seq, "queued": 0, "running": 4, "kv_used": 0, "kv_total": 372000,
                 "handles": 0, "size": self.platform.ranks, "pace": 1.0, "step": group.step, "map": self.version,
                 "prepared": self.prepared_version(),
                 "group": {"name": group.name, "epoch": group.epoch, "rank": self.rank, "state": group.state}}
        if self.armed is not None:
            state["armed"] = {"version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            state["held"] = self.held
        return state

    def picked(self, with_lists):
        content = {"born": self.born, "step": self.group.step, "epoch": self.group.epoch}
        if with_lists:
            content["map"] = {"version": self.version, "experts": self.experts}
            content["prepared"] = {"version": self.prepared_version(),
                                   "experts": self.prepared[2] if self.prepared else []}
        else:
            content["counts"] = [self.counts[i * EXPERTS:(i + 1) * EXPERTS] for i in range(SETS)]
        return content

    def order(self, body):
        """Carries out an order as PROTOCOL.md says. Returns the status."""
        if body.get("fence", 0) < self.fence:
            return 412
        self.fence = max(self.fence, body.get("fence", 0))
        group = self.group
        if body.get("epoch", group.epoch) != group.epoch or group.state != "open":
            return 409
        name, step = body["op"], body.get("step", 0)
        if name == "prepare":
            own = [ranks[self.rank] for ranks in body["map"]]
            new = max(len(set(wanted) - set(held)) for wanted, held in zip(own, self.experts))
            if body["version"] <= self.highest_version or self.armed is not None or new > SPARE:
                return 409
            self.highest_version = body["version"]
            self.prepared = (body["version"], body["map"], own)
            self.prepared_at = time.monotonic() + 0.05 * new
        elif name == "arm":
            if self.armed == (body["version"], step):
                return 200
            if self.prepared_version() != body["version"] or step <= group.step:
                return 409
            self.armed = (body["version"], step)
        elif name == "hold":
            if self.held == step:
                return 200
            if self.held is not None or step <= group.step:
                return 409
            self.held = step
        elif name == "go":
            if self.held != step:
                return 200
            self.held = None
        else:
            return 400
        self.seq += 1
        return 202


class Group:
    """Servers that execute each pass together."""

    def __init__(self, name, ranks):
        self.name = name
        self.epoch = 0
        self.step = 0
        self.state = "broken"
        self.members = [None] * ranks


class Platform:
    """Forms the groups and runs their passes."""

    def __init__(self, case, ranks):
        self.case = case
        self.ranks = ranks
        self.lock = threading.RLock()
        # With map 0, these experts are all on rank 0.
        self.hot = [expert for expert in range(EXPERTS) if expert % ranks == 0]
        self.groups = {name: Group(name, ranks) for name in GROUPS}

    def place(self, engine, group, rank):
        with self.lock:
            engine.group, engine.rank = self.groups[group], rank
            engine.forget_maps()
            engine.group.members[rank] = engine
        self.case.record.say(f"platform: server {engine.name} is rank {rank} of {group}")

    def open(self, name):
        with self.lock:
            group = self.groups[name]
            group.epoch += 1
            for member in group.members:
                member.forget_maps()
            group.state = "open"
        self.case.record.say(f"platform: {name} opens in epoch {group.epoch}")

    def run_passes(self, name):
        group = self.groups[name]
        while not self.case.is_over.is_set():
            time.sleep(STEP_S)
            with self.lock:
                if group.state == "open":
                    self.begin_pass(group)

    def begin_pass(self, group):
        step = group.step + 1
        if any(member.held == step for member in group.members):
            return
        group.step = step
        for member in group.members:
            if member.armed is not None and member.armed[1] == step:
                member.version, member.map, member.experts = member.prepared
                member.armed = None
                member.prepared = None
                self.case.record.write(f"server {member.name} (rank {member.rank} of {group.name}) switches to map "
                                       f"{member.version} at step {step}")
            for i in range(SETS):
                for expert in range(EXPERTS):
                    member.counts[i * EXPERTS + expert] += HOT_TOKENS if expert in self.hot else COLD_TOKENS


class EngineHandler(QuietHandler):
    engine = None

    def do_GET(self):
        if not self.engine.is_up:
            self.close_connection = True
            return
        with self.engine.platform.lock:
            if self.path == "/-/report":
                content = self.engine.report()
            elif self.path.startswith("/-/picked"):
                content = self.engine.picked("lists" in self.path)
            else:
                content = None
        if content is None:
            self.send(200, headers=[("X-Pomelohoist-Instance-Id", self.engine.name)])
        else:
            self.send_json(200, content)

    def do_POST(self):
        content = self.read_body()
        if not self.engine.is_up:
            self.close_connection = True
            return
        if self.path != "/-/order":
            self.stream()
            return
        body = json.loads(content)
        with self.engine.platform.lock:
            group = self.engine.group
            status = self.engine.order(body)
            shown = {name: value for name, value in body.items() if name != "map"}
            self.engine.platform.case.record.write(
                f"server {self.engine.name} (rank {self.engine.rank} of {group.name}, epoch {group.epoch}) answers "
                f"{status} to {json.dumps(shown)}")
        self.send(status)

    def stream(self):
        """Serves a client's request with a short stream."""
        request = self.headers.get("X-Pomelohoist-Attempt-Id", "")
        if self.headers.get("X-Pomelohoist-Expect-Instance", self.engine.name) != self.engine.name:
            self.send(421, headers=[("X-Pomelohoist-Instance-Id", self.engine.name)])
            return
        if self.engine.group.state != "open":
            self.send(503, headers=[("X-Pomelohoist-Not-Executed", "1"), ("X-Pomelohoist-Attempt-Id", request)])
            return
        self.engine.platform.case.record.write(f"server {self.engine.name} runs {request}")
        events = b"".join(b"id: %d\ndata: text\n\n" % number for number in range(1, 6))
        self.send(200, events, [("Content-Type", "text/event-stream"), ("X-Pomelohoist-Attempt-Id", request),
                                ("X-Pomelohoist-Response-Stamp", f"stamp-{self.engine.name}-{request}"),
                                ("X-Pomelohoist-Weight-Versions", "1")])


def config(version, ranks, routes=(), services=()):
    places = EXPERTS // ranks + SPARE
    return {"version": version,
            "routes": [{"name": "drafts", "host": "llm.example", "prefix": "/drafts/", "service": SERVICE,
                        "kind": "streaming", "timeout_ms": 8000, "goal_ms": 400, "attempts": 2, "priority": 1,
                        "sticky": True, "can_resume": True, "gap_target_ms": 120}, *routes],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 836, "engine": {
                "slots": 12, "step_ms": 5.85, "per_seq_ms": 0.355, "read_per_s": 61200.0, "chunk": 512, "stride": 5,
                "report_lag_ms": 200.0, "sets": SETS, "experts": EXPERTS, "places": places, "spare": SPARE,
                "expert_mb": 580.0, "link_mbps": 92000.0}}, *services],
            "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 30000}}


def register(case, instance, service, address, slots):
    """Writes a server's registration, as the server does when it starts."""
    case.store.put("servers", instance, {
        "service": service, "address": address, "zone": "zone-a", "version": 1, "slots": slots, "state": "ready",
        "cold_left_ms": 0, "seq": 0, "born": int(time.time() * 1000)})


def start_fleet(case, platform):
    """Starts the engines of all groups, and the system's process beside each."""
    engines, processes = {}, []
    for name in GROUPS:
        for rank in range(platform.ranks):
            engine = Engine(f"i-{len(engines)}", platform)
            ip = case.next_ip()
            engine.server = serve(EngineHandler, ip, engine=engine)
            engine.address = f"{ip}:{engine.server.server_address[1]}"
            engines[(name, rank)] = engine
            platform.place(engine, name, rank)
            processes.append(case.add_rank(f"side-{len(engines):02d}", engine.address, SERVICE))
            register(case, engine.name, SERVICE, engine.address, 12)
    for name in GROUPS:
        platform.open(name)
        threading.Thread(target=platform.run_passes, args=(name,), daemon=True).start()
    return engines, processes
