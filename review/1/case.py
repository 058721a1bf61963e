"""LIMIT: a runner is ordered to load an adapter for which it has no place, after an order that was carried out late.

One service with an engine: one runner, one model, places for five adapters; three nodes. Long streams use all five
adapters. Requests for a sixth one make the leader evict one of them, which waits for its streams, and order a load, which
the runner leaves unanswered and carries out 4 s later. Requests for a seventh one follow.
"""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from standins import (DEADLINE, EXPECTED, INSTANCE, REQUEST_ID, SEAL, Node, Runner, Store, answer_bytes, ask, beat,
                      configuration, route, run_case, service)

MODEL = "daka"
PLACES = 5
# How late an order is carried out that gets no answer: applied_late takes 2 to 12 s.
LATE_S = 4.0
# Time for which long streams go on after the unanswered order, and longest time that they take in all.
STREAM_AFTER_S = 3.6
LONGEST_STREAM_S = 8.0
# Time from the unanswered order until clients ask for the seventh adapter.
NEXT_REQUEST_S = 1.6


class EngineRunner(Runner):
    """A runner that carries out orders about adapters of its one model, as the pages say."""

    def __init__(self, record, name, service_name, late_adapter):
        super().__init__(record, name, service_name, slots=64, models=[MODEL])
        self.late_adapter = late_adapter
        self.held = set()
        self.leaving = set()
        self.users = {}
        self.fence = 0
        self.late_at = None
        self.overloads = []

    def update(self):
        """Takes over what the runner holds into its report and its entry."""
        self.models = [{"name": MODEL, "version": 1, "adapters": sorted(self.held)}]

    def carry_out(self, order):
        """Carries an order out, and returns the status of its answer."""
        adapter = order.get("adapter")
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        if adapter is None or order["model"] != MODEL:
            return 400
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        if adapter in self.leaving:
            # The very order that is under way: nothing new is accepted.
            return 202 if order["operation"] == "evict" else 409
        if self.leaving:
            return 409
        if (adapter in self.held) == (order["operation"] == "load"):
            return 200
        self.sequence += 1
        if order["operation"] == "load":
            if len(self.held) >= PLACES:
                self.overloads.append(adapter)
                self.record.write(f"runner {self.name} holds {sorted(self.held)} and is ordered to load {adapter} as well")
            self.held.add(adapter)
            self.update()
            return 202
        if self.users.get(adapter):
            self.leaving.add(adapter)
            return 202
        self.held.discard(adapter)
        self.update()
        return 200

    def note(self, order, status, manner):
        self.record.write(f"runner {self.name} {manner} {order['operation']} {order.get('adapter')}, expected "
                          f"{order.get('expected')}: {status}; sequence {self.sequence}, holds {sorted(self.held)}, "
                          f"waits to evict {sorted(self.leaving)}")

    async def carry_out_late(self, order):
        await asyncio.sleep(LATE_S)
        status = self.carry_out(order)
        self.note(order, status, "carries out late")

    async def handle(self, method, path, headers, body, writer):
        if path != "/mustardgate/order" or headers.get(EXPECTED, self.name) != self.name:
            return await super().handle(method, path, headers, body, writer)
        order = json.loads(body)
        if order["operation"] == "load" and order.get("adapter") == self.late_adapter and self.late_at is None:
            self.late_at = time.monotonic()
            self.note(order, "no answer", "leaves unanswered")
            late = asyncio.create_task(self.carry_out_late(order))
            await late
            return None
        status = self.carry_out(order)
        self.note(order, status, "answers")
        return answer_bytes(status, {INSTANCE: self.name})

    async def work(self, request, path, headers, writer):
        _, _, adapter = headers.get("mustardgate-model", "").partition("/")
        if adapter not in self.held or adapter in self.leaving:
            return answer_bytes(421, {REQUEST_ID: request, INSTANCE: self.name})
        self.users[adapter] = self.users.get(adapter, 0) + 1
        head = ["HTTP/1.1 200 OK", f"{REQUEST_ID}: {request}", f"{SEAL}: seal.{self.name}",
                "content-type: text/event-stream", "transfer-encoding: chunked"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        number, started_at = 0, time.monotonic()
        while True:
            number += 1
            event = f"id: {number}\ndata: {adapter}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.1)
            ends_at = started_at + LONGEST_STREAM_S
            if self.late_at:
                ends_at = min(ends_at, self.late_at + STREAM_AFTER_S)
            if path != "/draft/long" or time.monotonic() >= ends_at:
                break
        self.users[adapter] -= 1
        if not self.users[adapter] and adapter in self.leaving:
            self.leaving.discard(adapter)
            self.held.discard(adapter)
            self.update()
            self.record.write(f"runner {self.name} has evicted {adapter}; holds {sorted(self.held)}")
        return b"0\r\n\r\n"


async def stream(record, node, request, adapter, path):
    """Reads one stream to its end; returns the status."""
    headers = {
        REQUEST_ID: request, DEADLINE: "12000", "mustardgate-model": f"{MODEL}/{adapter}",
        "mustardgate-token-usage": "300,80", "mustardgate-prompt-prefix": "5c1e07a2:200,91bd3f06:100",
    }
    try:
        status, _, _ = await ask(node.front, "POST", path, headers, b"body", timeout=14)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    record.write(f"client {request} for {adapter}: {status}")
    return status


async def request_until_served(record, nodes, adapter, ends_at, is_over=lambda: False):
    """Asks for an adapter again and again, each time with a request of its own, until one is served or it is over."""
    number = 0
    while time.monotonic() < ends_at and not is_over():
        number += 1
        if await stream(record, nodes[number % len(nodes)], f"{adapter}-{number}", adapter, "/draft/new") == 200:
            return
        await asyncio.sleep(0.1)


async def case(record, folder, with_trouble):
    store = Store()
    await store.listen()
    runner = EngineRunner(record, "i-engine1", "assist", "a6" if with_trouble else None)
    await runner.listen()
    engine = service("assist", has_engine=True)
    engine["engine"]["adapter_slots"] = PLACES
    engine["engine"]["models"][0]["adapters"] = 8
    routes = [route("r-draft", "/draft/", "streaming", "assist", timeout_ms=12000, target_latency_ms=1500,
                    resumable=True, session_affinity=True, target_gap_ms=300)]
    await store.put_config(configuration(1, routes, [engine]))
    beating = asyncio.create_task(beat(store, [runner]))
    nodes = [Node(folder, f"edge-east-{number}", store.address, []) for number in (1, 2, 3)]
    for node in nodes:
        node.seeds = [other.control for other in nodes]
    try:
        for node in nodes:
            await node.start(bootstrap=True)
        for node in nodes:
            await node.wait_ready()
        # Longer than contact_ms, so that all nodes are in touch.
        await asyncio.sleep(4)
        adapters = [f"a{number}" for number in range(1, PLACES + 1)]
        for adapter in adapters:
            await request_until_served(record, nodes, adapter, time.monotonic() + 5)
        if runner.held != set(adapters):
            raise RuntimeError(f"the runner holds {sorted(runner.held)}")
        # The first adapter is used through one node, the others through all, so that it is the least recently used.
        long = [asyncio.create_task(stream(record, node, f"long-{adapter}-{number}", adapter, "/draft/long"))
                for adapter in adapters for number, node in enumerate(nodes) if adapter != "a1" or number == 0]
        await asyncio.sleep(1)
        waiting = [asyncio.create_task(request_until_served(record, nodes, "a6", time.monotonic() + 8,
                                                            lambda: runner.late_at is not None))]
        if with_trouble:
            while runner.late_at is None and not waiting[0].done():
                await asyncio.sleep(0.01)
        await asyncio.sleep(NEXT_REQUEST_S)
        waiting.append(asyncio.create_task(request_until_served(record, nodes, "a7", time.monotonic() + 10)))
        await asyncio.gather(*waiting, *long)
    finally:
        beating.cancel()
        for node in nodes:
            await node.end()
    if with_trouble and runner.late_at is None:
        raise RuntimeError("no order was left unanswered")
    summary = f"{len(runner.overloads)} orders to load an adapter beyond the runner's {PLACES} places"
    record.write(summary)
    print(summary)
    return not runner.overloads


run_case(case, HERE)
