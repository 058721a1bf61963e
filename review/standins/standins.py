"""Small stand-ins of the users' platform: the metadata store, runners, clients and the start of nodes.

They listen on loopback addresses only and follow the users' pages as far as the cases need them. Nodes are started with the
command of deploy/system.toml and with settings that are rendered from deploy/node.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
REQUEST_ID = "mustardgate-request-id"
DEADLINE = "mustardgate-deadline-ms"
SEAL = "mustardgate-server-seal"
INSTANCE = "mustardgate-instance-id"
EXPECTED = "mustardgate-expect-instance"
NOT_RUN = "mustardgate-not-executed"
HEARTBEAT_S = 1.2

# Bounds of the small deployments' pages.
BOUNDS = {
    "config_apply_ms": 2000, "drain_ms": 2000, "contact_ms": 3000, "grace_s": 8, "retry_budget_ratio": 0.2,
    "budget_extra_tries": 54, "budget_window_s": 10, "lease_ms": 3000, "ceiling_window_s": 5, "ceiling_overage": 1.1,
    "require_fencing": True,
}


def free_port(host="127.0.0.1"):
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message: its first line and its header fields, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_answer=False):
    """Reads a whole body by its length, its chunks, or up to the end of the connection."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


def answer_bytes(status, headers=None, body=b""):
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"] + [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """A server with kept connections; `handle(method, path, headers, body, writer)` returns the answer's bytes, or None
    if it has written an answer itself and the connection ends."""

    def __init__(self):
        self.connections = set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                answer = await self.handle(method, path, headers, body, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listener and all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's log, which keeps everything; its era never changes."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Appends the record of a key, as the operator or a runner does; an empty value deletes the key."""
        content = bytes([len(key)]) + key.encode() + value
        async with self.changed:
            self.topics.setdefault(topic, []).append(content)
            self.changed.notify_all()

    async def put_config(self, config):
        await self.put("keyed.op", "config", json.dumps(config).encode())

    async def put_entry(self, key, entry):
        await self.put("keyed.servers", key, json.dumps(entry).encode() if entry else b"")

    async def handle(self, method, path, headers, body, writer):
        path, _, query = path.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = values.get("topic", "")
        records = self.topics.get(topic, [])
        if path == "/mustardgate/log-read":
            start = int(values["start_from"])
            deadline = time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            async with self.changed:
                while len(self.topics.get(topic, [])) <= start and time.monotonic() < deadline:
                    try:
                        left = max(0.001, deadline - time.monotonic())
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        break
            records = self.topics.get(topic, [])
            page = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for record in records[start:]:
                page += len(record).to_bytes(4, "big") + record
            return answer_bytes(200, {"content-type": "application/octet-stream"}, page)
        if path == "/mustardgate/log-newest":
            newest = {}
            for offset, content in enumerate(records):
                key = content[1:1 + content[0]].decode()
                newest[key] = (content[1 + content[0]:], offset)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items()) if value
            ]
            answer = {"items": items, "has_more": False, "end": len(records)}
            return answer_bytes(200, {"content-type": "application/json"}, json.dumps(answer).encode())
        if path == "/mustardgate/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return answer_bytes(403)
            async with self.changed:
                records = self.topics.setdefault(topic, [])
                if "at" in values and int(values["at"]) != len(records):
                    return answer_bytes(412, {"content-type": "application/json"},
                                        json.dumps({"end": len(records)}).encode())
                offset, rest = len(records), body
                while rest:
                    size = int.from_bytes(rest[:4], "big")
                    records.append(rest[4:4 + size])
                    rest = rest[4 + size:]
                self.changed.notify_all()
            answer = {"offset": offset, "end": len(records)}
            return answer_bytes(200, {"content-type": "application/json"}, json.dumps(answer).encode())
        return answer_bytes(404)


class Runner(HttpServer):
    """A runner of a service; `work` runs a request, by default for 15 ms with an answer of 200 bytes."""

    def __init__(self, record, name, service, version="v1", zone="east", slots=8, models=()):
        super().__init__()
        self.record = record
        self.name, self.service, self.version, self.zone, self.slots = name, service, version, zone, slots
        self.models = [{"name": model, "version": 1, "adapters": []} for model in models]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []

    def entry(self, state="ready"):
        """Returns the entry that the runner writes."""
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born,
        }
        if self.models:
            entry |= {"stage": "colocated", "models": self.models}
        return entry

    async def handle(self, method, path, headers, body, writer):
        if headers.get(EXPECTED, self.name) != self.name:
            return answer_bytes(421, {INSTANCE: self.name})
        if path == "/mustardgate/report":
            report = {
                "stage": "colocated", "models": self.models, "busy": False, "sequence": self.sequence, "queued": 0,
                "active": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": self.born,
            }
            return answer_bytes(200, {INSTANCE: self.name, "content-type": "application/json"},
                                json.dumps(report).encode())
        if path == "/mustardgate/order":
            return answer_bytes(200, {INSTANCE: self.name})
        request = headers.get(REQUEST_ID)
        if not request:
            return answer_bytes(400, {NOT_RUN: "1"})
        self.runs.append(request)
        self.record.write(f"runner {self.name} ({self.service} {self.version}) runs {request}: {method} {path}")
        return await self.work(request, path, headers, writer)

    async def work(self, request, path, headers, writer):
        await asyncio.sleep(0.015)
        return answer_bytes(200, {REQUEST_ID: request, SEAL: f"seal.{self.name}"}, b"x" * 200)


class StreamRunner(Runner):
    """A runner that answers with a stream of events, each of which names its service and version; a request with
    `Last-Event-Id` gets the rest."""

    EVENTS = 35
    PAUSE_S = 0.1

    async def work(self, request, path, headers, writer):
        last = int(headers.get("last-event-id", "0"))
        head = ["HTTP/1.1 200 OK", f"{REQUEST_ID}: {request}", f"{SEAL}: seal.{self.name}",
                "content-type: text/event-stream", "transfer-encoding: chunked"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(last + 1, self.EVENTS + 1):
            event = f"id: {number}\ndata: {self.service} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.PAUSE_S)
        return b"0\r\n\r\n"


def render(template, fields):
    """Fills in the placeholders `{{NAME|json}}` of a settings template."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[part]
        return json.dumps(found)

    return re.sub(r"\{\{([a-z_.]+)\|json\}\}", value, template)


class Node:
    """A process of the system, started as the deploy file says."""

    def __init__(self, folder, name, store, seeds, zone="east", host="127.0.0.1"):
        self.folder, self.name, self.store, self.seeds, self.zone = pathlib.Path(folder), name, store, seeds, zone
        self.front, self.ready, self.control = (f"{host}:{free_port(host)}" for _ in range(3))
        self.process = None

    async def start(self, bootstrap):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        fields = {
            "node_name": self.name, "zone": self.zone, "region": "home", "limits": {"max_fds": 4100, "link_mbps": 1000.0},
            "bootstrap": bootstrap, "listen_addrs": {"front": self.front, "ready": self.ready, "control": self.control},
            "seeds": self.seeds, "provider": {"address": self.store}, "bounds": BOUNDS,
        }
        settings = self.folder / f"{self.name}.settings"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=kept | {"MUSTARDGATE_CONFIG": str(settings)}, stdout=self.log,
            stderr=self.log)

    async def is_ready(self):
        try:
            status, _, _ = await ask(self.ready, "GET", "/mustardgate/readiness", {}, timeout=1)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout=10):
        ends_at = time.monotonic() + timeout
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def send(self, kind):
        if self.process and self.process.returncode is None:
            self.process.send_signal(kind)

    async def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()


async def ask(address, method, path, headers, body=b"", timeout=10):
    """Sends one request over a new connection; returns status, header fields and body of the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    try:
        fields = {"host": "kitchen.example"} | headers
        if body or method == "POST":
            fields["content-length"] = str(len(body))
        head = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

        async def receive():
            line, answered = await read_head(reader)
            return int(line.split(" ")[1]), answered, await read_body(reader, answered, is_answer=True)

        return await asyncio.wait_for(receive(), timeout)
    finally:
        writer.close()


class StreamClient:
    """A client that reads a stream and takes it up with `Last-Event-Id` after a broken connection, within its deadline."""

    def __init__(self, record, name, deadline_ms):
        self.record, self.name, self.deadline_ms = record, name, deadline_ms
        self.started_at = time.monotonic()
        self.attempts = 0
        self.events = []
        self.is_complete = False

    async def attempt(self, address, path):
        """Makes one attempt, with an id of its own."""
        request = f"{self.name}-{self.attempts}"
        self.attempts += 1
        left_ms = self.deadline_ms - int((time.monotonic() - self.started_at) * 1000)
        fields = {
            "host": "kitchen.example", REQUEST_ID: request, DEADLINE: left_ms, "mustardgate-model": "daka",
            "mustardgate-token-usage": "300,80", "mustardgate-prompt-prefix": "5c1e07a2:200,91bd3f06:100",
            "content-length": 4,
        }
        if self.events:
            fields["last-event-id"] = self.events[-1][0]
        self.record.write(f"client sends {request}, last event {fields.get('last-event-id', 'none')}")
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        try:
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\nbody".encode())
            outcome = await asyncio.wait_for(self.receive(reader), left_ms / 1000)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            outcome = "broken off"
        except asyncio.TimeoutError:
            outcome = "deadline"
        finally:
            writer.close()
        self.record.write(f"client {request}: {outcome}; has {len(self.events)} events")

    async def receive(self, reader):
        line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
        if status != 200:
            body = await read_body(reader, headers, is_answer=True)
            return f"{status} {body.decode('latin-1')!r}, retry-after {headers.get('retry-after', 'none')}"
        pending = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            pending += await reader.readexactly(size)
            await reader.readexactly(2)
            while b"\n\n" in pending:
                event, pending = pending.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                self.events.append((int(fields["id"]), fields["data"]))
            if size == 0:
                self.is_complete = True
                return "200, complete"

    def origins(self):
        """Returns the services and versions whose events the client has, in their order."""
        return list(dict.fromkeys(data for _, data in self.events))


async def beat(store, runners):
    """Writes the entries of the listed runners at each heartbeat."""
    while True:
        for runner in list(runners):
            await store.put_entry(runner.name, runner.entry())
        await asyncio.sleep(HEARTBEAT_S)


def service(name, has_engine=False):
    """Returns a service of the operator's configuration."""
    found = {"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": False}
    if has_engine:
        model = {"name": "daka", "weights_mb": 72700.0, "load_time_s": 6.4, "adapters": 0, "adapter_mb": 66.0,
                 "warm_s": 0.6, "disk_load_s": 1.3}
        found["engine"] = {"slots": 64, "kv_capacity_tokens": 163837, "kv_token_bytes": 327680, "weights_mb": 200000.0,
                           "adapter_slots": 8, "loads_per_s": 2.4, "models": [model]}
    return found


def run_case(case, folder):
    """Runs `case(record, folder of settings, with trouble)`, which returns whether the rule held, and exits with 0 if it
    did, 1 if it was broken and 2 if the case could not run."""

    async def bounded():
        task = asyncio.current_task()
        for kind in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(kind, task.cancel)
        record = Record(pathlib.Path(folder) / "record.txt")
        with_trouble = os.environ.get("TROUBLE", "1") != "0"
        record.write(f"the case runs {'with' if with_trouble else 'without'} the disruption")
        with tempfile.TemporaryDirectory() as settings:
            has_held = await asyncio.wait_for(case(record, settings, with_trouble), 110)
        record.write("the rule held" if has_held else "the rule was broken")
        return 0 if has_held else 1

    try:
        status = asyncio.run(bounded())
    except BaseException as error:  # Whatever it was, the case says nothing of the rule.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)


def route(name, prefix, kind, service, **fields):
    """Returns a route of the operator's configuration."""
    return {
        "name": name, "host": "kitchen.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 2000,
        "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
    } | fields


def configuration(version, routes, services):
    """Returns the operator's configuration."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 20000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}
