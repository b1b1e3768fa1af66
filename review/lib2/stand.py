"""Small deployment on loopback for the scripts of review/6 to review/10: stores, gateways, replicas, an operator and a platform.

Uses the standard library only. Programs are started as deploy/system.toml does; settings have the fields of
deploy/platform/*.json with the figures of the small site sebou-pulp.
"""

import asyncio
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Figures of the site sebou-pulp.
FRONT_MEMORY_MB, STORE_MEMORY_MB = 110, 140
RESTART_DELAY_S = 0.5
HEARTBEAT_S = 1.2
HOST = "rollouts.example"


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request on a new connection; returns status, headers and body, or raises OSError."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except http.client.HTTPException as e:
        raise OSError(f"{type(e).__name__}: {e}") from e
    finally:
        connection.close()


class Process:
    """A program of the system. The platform restarts it when it ends, and kills it when it uses more memory than it has."""

    def __init__(self, stand, name, program, settings, memory_mb):
        self.stand, self.name, self.program, self.memory_mb = stand, name, program, memory_mb
        self.settings = os.path.join(stand.folder, f"{name}.json")
        self.write_settings(settings)
        self.starts, self.ends, self.wanted, self.peak_mb = 0, [], True, 0.0
        self.start()

    def write_settings(self, settings):
        self.fields = settings
        with open(self.settings, "w") as f:
            json.dump(settings, f)

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["ORIOLEWORKS_NODE_FILE"] = self.settings
        out = open(os.path.join(self.stand.folder, f"{self.name}.{self.starts}.log"), "w")
        self.child = subprocess.Popen([self.program], cwd=ROOT, env=env, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        out.close()
        self.started = time.monotonic()
        self.starts += 1
        self.stand.record(f"platform: {self.name} started, pid {self.child.pid}")

    def memory(self):
        """Resident memory now, in megabytes."""
        try:
            with open(f"/proc/{self.child.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)
            self.stand.record(f"platform: {signal.Signals(number).name} to {self.name}")

    def kill(self):
        """A kill by the platform, which is no end of its own."""
        self.killed = self.child.pid
        self.signal(signal.SIGKILL)

    def log(self):
        text = ""
        for n in range(self.starts):
            with open(os.path.join(self.stand.folder, f"{self.name}.{n}.log"), errors="replace") as f:
                text += f.read()
        return text

    def watch(self):
        """Called every few milliseconds."""
        code = self.child.poll()
        if code is None:
            used = self.memory()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.stand.record(f"platform: {self.name} uses {used:.0f} MB of {self.memory_mb} MB, killed")
                self.child.kill()
                self.child.wait()
                self.ends.append(("memory", used))
        elif getattr(self, "killed", None) == self.child.pid:
            self.killed = None
        elif self.wanted:
            self.stand.record(f"platform: {self.name} ended by itself, code {code}")
            self.ends.append(("exit", code))
        if self.child.poll() is not None and self.wanted:
            if not self.stand.stopped.wait(RESTART_DELAY_S):
                self.start()


class Stand:
    """Three stores, gateways, and whoever talks to them."""

    def __init__(self, folder, gateways=6, stores=3, store_memory_mb=STORE_MEMORY_MB, front_memory_mb=FRONT_MEMORY_MB):
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="orioleworks-review-")
        self.net = f"{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self.control_port, self.inner_port = free_port(), free_port()
        self.callers_port, self.ready_port, self.relay_port = free_port(), free_port(), free_port()
        self.replica_port = free_port()
        self.zones = ["kenitra-a", "kenitra-b", "kenitra-c"]
        self.stores, self.gateways, self.replicas = [], [], []
        self.version = 0
        self.stopped = threading.Event()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        for program in ("orioleworks-store", "orioleworks-gateway"):
            if not os.path.exists(os.path.join(ROOT, "target/release", program)):
                raise CannotRun(f"target/release/{program} is missing: run the build of the deploy file")
        self.seeds = [self.control(i) for i in range(min(stores, 3))]
        self.store_memory_mb, self.front_memory_mb = store_memory_mb, front_memory_mb
        for i in range(stores):
            self.stores.append(Process(self, f"store-{i}", "target/release/orioleworks-store", self.store_settings(i, True), store_memory_mb))
        for i in range(gateways):
            self.gateways.append(Process(self, f"gateway-{i}", "target/release/orioleworks-gateway", self.gateway_settings(i), front_memory_mb))
        for process in self.stores + self.gateways:
            threading.Thread(target=self.watch, args=(process,), daemon=True).start()

    def control(self, i):
        return f"127.10.{self.ip(i)}:{self.control_port}"

    def ip(self, i):
        return f"{self.net.split('.')[0]}.{i + 1}"

    def callers(self, i):
        return f"127.20.{self.ip(i)}:{self.callers_port}"

    def ready(self, i):
        return f"127.20.{self.ip(i)}:{self.ready_port}"

    def store_settings(self, i, bootstrap):
        return {
            "instance": {"name": f"storage-{i}", "failure_domain": self.zones[i % 3]},
            "listen": {"control": self.control(i), "inner_port": self.inner_port},
            "cluster": {"seeds": self.seeds, "bootstrap": bootstrap, "tolerated_losses": 1, "catch_up_s": 5.2},
            "data": {"directory": os.path.join(self.folder, f"data-{i}")},
            "batches": {"status_retention_s": 120},
            "limits": {"memory_mb": self.store_memory_mb, "file_descriptors": 8200},
            "orders": {"lease_ms": 3000},
        }

    def gateway_settings(self, i):
        return {
            "instance": {"name": f"frontend-{i}", "failure_domain": self.zones[i % 3]},
            "listen": {"callers": self.callers(i), "readiness": self.ready(i), "relay": f"127.20.{self.ip(i)}:{self.relay_port}"},
            "stores": {"seeds": self.seeds, "inner_port": self.inner_port},
            "batches": {"status_retention_s": 120},
            "limits": {"memory_mb": self.front_memory_mb, "file_descriptors": 4100},
        }

    async def cancel_tasks(self):
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def watch(self, process):
        while not self.stopped.is_set():
            process.watch()
            time.sleep(0.005)

    def order(self, method, path, body=None, timeout=12.0):
        """A call of the operator or a trainer to control: any store, again until it gets a clear answer."""
        end = time.monotonic() + timeout
        n = 0
        while time.monotonic() < end:
            i = n % len(self.stores)
            n += 1
            try:
                status, _, answer = call(self.control(i), method, path, body, {"Content-Type": "application/json"}, 1.0)
                if status < 500 and status not in (408, 429):
                    return status, answer
            except OSError:
                pass
            time.sleep(0.1)
        return None, b""

    def put_config(self, routes, services):
        self.version += 1
        limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        config = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        status, _ = self.order("POST", "/v1/Configuration.Replace", json.dumps(config), 20.0)
        self.record(f"operator: config {self.version}: {status}")
        if status != 200:
            raise CannotRun("the first config was not acknowledged")

    def wait_ready(self):
        end = time.monotonic() + 15
        for i in range(len(self.gateways)):
            while True:
                try:
                    if call(self.ready(i), "GET", "/v1/readiness", timeout=1.0)[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise CannotRun("a gateway did not become ready")
                time.sleep(0.05)

    def close(self):
        for process in self.stores + self.gateways:
            process.wanted = False
        self.stopped.set()
        time.sleep(0.3)
        for process in self.stores + self.gateways:
            process.wanted = False
            if process.child.poll() is None:
                process.child.kill()
            process.child.wait()
        asyncio.run_coroutine_threadsafe(self.cancel_tasks(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        if os.environ.get("KEEP"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Replica:
    """A replica: announces itself, answers status checks, orders and requests, one request at a time on a channel."""

    def __init__(self, stand, n, service, models=(), slots=12, zone=None):
        self.stand, self.service, self.slots = stand, service, slots
        self.id = f"i-{n:04x}{random.randrange(1 << 16):04x}"
        self.address = f"127.30.{stand.ip(n)}:{stand.replica_port}"
        self.zone = zone or stand.zones[n % 3]
        self.born = int(time.time() * 1000)
        self.models = {name: 1 for name in models}
        self.sequence = self.orders = 0
        self.running = 0
        self.runs = []
        stand.replicas.append(self)
        asyncio.run_coroutine_threadsafe(self.start(), stand.loop).result(10)

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        asyncio.ensure_future(self.beat())

    def models_now(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.models.items()]

    async def beat(self):
        n = random.randrange(3)
        while not self.stand.stopped.is_set():
            self.sequence += 1
            beat = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                    "state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": self.models_now(),
                    "sequence": self.sequence, "born": self.born}
            for _ in self.stand.stores:
                address = self.stand.control(n % len(self.stand.stores))
                try:
                    ok = await asyncio.to_thread(call, address, "POST", f"/v1/Instances.Heartbeat/{self.id}", json.dumps(beat),
                                                 {"Content-Type": "application/json"}, 1.0)
                    if ok[0] < 300:
                        break
                except OSError:
                    pass
                n += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(writer, method, target, headers, body):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, OSError):
            pass
        finally:
            writer.close()

    def head(self, status, headers, more):
        fields = {"X-Instance-Id": self.id}
        if "x-attempt-id" in headers:
            fields["X-Attempt-Id"] = headers["x-attempt-id"]
        fields.update(more)
        return f"HTTP/1.1 {status}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"

    async def reply(self, writer, status, headers, body=b"", more=()):
        fields = {"Content-Length": str(len(body)), **dict(more)}
        writer.write(self.head(status, headers, fields).encode() + body)
        await writer.drain()
        return True

    async def answer(self, writer, method, target, headers, body):
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return await self.reply(writer, "421 Misdirected Request", headers)
        if target == "/health":
            return await self.reply(writer, "200 OK", headers)
        if target == "/v1/report":
            state = {"stage": "both", "models": self.models_now(), "busy": False, "sequence": self.orders, "waiting": 0,
                     "running": self.running, "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0}
            return await self.reply(writer, "200 OK", headers, json.dumps(state).encode(), {"Content-Type": "application/json"})
        if target == "/v1/order":
            order = json.loads(body)
            if order.get("expected", self.orders) != self.orders:
                return await self.reply(writer, "409 Conflict", headers)
            self.orders += 1
            self.models[order["model"]] = order["version"]
            return await self.reply(writer, "202 Accepted", headers)
        self.running += 1
        try:
            return await self.run(writer, method, target, headers, body)
        finally:
            self.running -= 1

    async def run(self, writer, method, target, headers, body):
        """A request; the cases override it."""
        return await self.plain(writer, headers)

    async def plain(self, writer, headers, more=()):
        self.note(headers)
        fields = {"X-Server-Stamp": f"stamp.{self.id}", "Content-Type": "text/plain", **dict(more)}
        return await self.reply(writer, "200 OK", headers, b"answer of " + self.id.encode(), fields)

    def note(self, headers):
        self.runs.append(headers.get("x-attempt-id"))
        self.stand.record(f"{self.id} ({self.service}) runs {headers.get('x-attempt-id')}")

    async def stream(self, writer, headers, events, pause_s, more=()):
        """An event stream from `Last-Event-Id` on; the text of event n is given by the item."""
        self.note(headers)
        first = int(headers.get("last-event-id", "0")) + 1
        version = next(iter(self.models.values()), 1)
        fields = {"X-Server-Stamp": f"stamp.{self.id}", "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                  "X-Weight-Versions": str(version), **dict(more)}
        writer.write(self.head("200 OK", headers, fields).encode())
        for n in range(first, events + 1):
            await asyncio.sleep(pause_s)
            data = f"id: {n}\ndata: {headers.get('x-attempt-id')}-{n}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def service(name, engine=False, models=()):
    wire = {"name": name, "health_path": "/health", "connection_limit": 150, "protocol": "h1", "tls": False}
    if engine:
        wire["engine"] = {"slots": 12, "kv_cache_tokens": 40637, "kv_token_bytes": 163840, "link_mbps": 8800000.0, "stride": 74,
                          "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": m} for m in models]}
    return wire


def safe_route(name, prefix, service_name, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "safe", "timeout_ms": 800, "target_latency_ms": 150,
            "priority": 2, "service": service_name, "max_attempts": 2, **more}


def rollout_route(name, prefix, service_name):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
            "priority": 1, "service": service_name, "max_attempts": 3, "retention_s": 40.0, "completion_deadline_ms": 7500,
            "single_version": False, "session_affinity": True, "resumable": True}


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def item(prefix, n, model, item_id=None):
    item_id = item_id or attempt_id()
    return {"id": item_id, "path": f"{prefix}{n}/{item_id}", "headers": {"X-Model": model, "X-Token-Count": "271,600",
            "X-Prompt-Prefix": f"9c2e41:255,{item_id}:16", "X-Length-Hint": "300"},
            "body": base64.b64encode(os.urandom(600)).decode(), "tokens": 871, "group": f"g{n // 4}"}


def batch(model, items, step=0, min_version=1):
    return {"step": step, "model": model, "min_version": min_version, "group_count": max(1, len(items) // 4), "items": items}


def submit(stand, gateway, batch_id, body, timeout=4.0):
    """One attempt to submit a batch; returns the status, or None without a response."""
    headers = {"Host": HOST, "X-Attempt-Id": batch_id, "Content-Type": "application/json"}
    try:
        status = call(stand.callers(gateway), "POST", f"/rollout/{batch_id}", body, headers, timeout)[0]
    except OSError as e:
        status = None
        stand.record(f"batch {batch_id} at gateway-{gateway}: no response ({e})")
    else:
        stand.record(f"batch {batch_id} at gateway-{gateway}: {status}")
    return status


def read_batch(stand, gateway, batch_id, after=0):
    """Results of a batch from a position on; None without a 200."""
    try:
        headers = {"Host": HOST, "X-Wait-Ms": "1000"}
        status, _, body = call(stand.callers(gateway), "GET", f"/v1/lots/{batch_id}?after={after}", None, headers, 2.5)
    except OSError as e:
        stand.record(f"read of {batch_id} at gateway-{gateway}: no response ({e})")
        return None
    if status != 200:
        stand.record(f"read of {batch_id} at gateway-{gateway}: {status}")
        return None
    return json.loads(body)


def read_all(stand, batch_id, time_s):
    """Reads a batch from the start until each item is listed, at one gateway after the other; returns the results so far."""
    end, n, results = time.monotonic() + time_s, 0, []
    while time.monotonic() < end:
        reply = read_batch(stand, n % len(stand.gateways), batch_id, len(results))
        n += 1
        if reply is None:
            time.sleep(0.3)
            continue
        results += reply["results"]
        if len(results) >= reply["total"]:
            break
    stand.record(f"batch {batch_id}: {len(results)} results read")
    return results


def ends_by_themselves(stand):
    """Numbers of ends by themselves of each process; memory over the limit counts."""
    return {process.name: len(process.ends) for process in stand.stores + stand.gateways if process.ends}


def is_fault(stand):
    """Whether processes ended by themselves three times, on half of the stores or on a tenth of the machines (two at least)."""
    often = [p for p in stand.stores + stand.gateways if len(p.ends) >= 3]
    stores = [p for p in often if p in stand.stores]
    machines = max(2, -(-(len(stand.stores) + len(stand.gateways)) // 10))
    return len(often) >= machines or 2 * len(stores) >= len(stand.stores)


def main(folder, case):
    """Runs a case; `case(stand_factory)` returns True if the rule held."""
    made = []

    def stand(**options):
        made.append(Stand(folder, **options))
        return made[-1]

    def stop(*_):
        raise CannotRun("the time is up")

    # The processes are ended also when `timeout` ends the script.
    signal.signal(signal.SIGTERM, stop)
    code = NOT_RUN
    try:
        held = case(stand)
        code = HELD if held else BROKEN
    except CannotRun as e:
        print(f"the case could not run: {e}")
    except Exception as e:  # The verdict must not depend on a fault of the script.
        print(f"the case could not run: {type(e).__name__}: {e}")
        raise
    finally:
        for each in made:
            each.record(f"verdict: {['the rule held', 'the rule was broken', 'not run'][code]}")
            each.close()
    sys.exit(code)
