"""A configuration whose new tenant has a name that is not UTF-8, and requests of that tenant and of another one."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import system as deployment  # noqa: E402
from system import CannotRun, System, ZONES, configuration, exchange, messagepack, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MARK = b"NAME-OF-THE-NEW-TENANT"
NAME = "Bücherei".encode("latin-1" if TROUBLE else "utf-8")
PLAY_S = 14
OWN_ENDS, WITHIN_S = 3, 10  # RULES.md, Fault


class Server:
    """A sound server: it answers each request with 200."""

    def __init__(self, system, number):
        self.system = system
        self.id, self.service, self.zone = f"i-{number}", "suchdienst", ZONES[number % 3]

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        self.system.platform.add(self)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
                attempt = fields.get("x-attempt-id", "")
                await asyncio.sleep(0.06)
                self.system.record(f"{self.id} has run {attempt} of {fields.get('x-tenant-name', '').encode('latin-1')}")
                writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal\r\nContent-Length: 3\r\n"
                             "\r\nok\n".encode())
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def pack(value):
    """A tenant's name goes out in the bytes that the operator's program has for it."""
    data = deployment_pack(value)
    size = lambda name: b"\xdb" + len(name).to_bytes(4, "big") + name  # noqa: E731
    return data.replace(size(MARK), size(NAME))


deployment_pack = messagepack.pack
messagepack.pack = pack


def version(revision, with_new_tenant):
    tenants = [{"name": "leser", "apiKeys": ["key-of-leser"], "priority": 0, "ratePerS": 119, "burstSize": 119}]
    if with_new_tenant:
        tenants.append({"name": MARK.decode(), "apiKeys": ["key-of-the-new-tenant"], "priority": 0, "ratePerS": 119,
                        "burstSize": 119})
    return configuration(revision, [route("titel-suche", "/suche/", "idempotent", "suchdienst", 1000)], tenants=tenants)


async def search(system, key, pause_s, until, counts):
    """A client that sends one search after the other, to a gateway drawn by lot, as the platform does."""
    number = 0
    while system.record.now() < until:
        number += 1
        attempt = f"{key}-{number}"
        gateway = system.random.choice(system.gateways)
        response = await exchange(gateway.frontend, (
            f"GET /suche/{number} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Remaining-Ms: 1000\r\nX-Api-Key: {key}\r\nConnection: close\r\n\r\n").encode())
        status = response[0] if response else None
        counts[status] = counts.get(status, 0) + 1
        system.record(f"{attempt} at {gateway.name}: {status}")
        await asyncio.sleep(pause_s)


def machines_at_fault(system):
    """Those whose process has ended by itself three times in 10 s."""
    out = []
    for gateway in system.gateways + system.controls:
        times = [at for at, name, _ in system.own_ends if name == gateway.name]
        if any(times[i + OWN_ENDS - 1] - times[i] <= WITHIN_S for i in range(len(times) - OWN_ENDS + 1)):
            out.append(gateway.name)
    return out


async def play(system):
    for number in range(3):
        await Server(system, number).start()
    await system.start(version(7, False))
    counts = {"key-of-leser": {}, "key-of-the-new-tenant": {}}
    await search(system, "key-of-leser", 0.1, system.record.now() + 2, counts["key-of-leser"])
    if counts["key-of-leser"].get(200, 0) < 5 or system.own_ends:
        raise CannotRun("the deployment does not serve")
    status = None
    for _ in range(10):
        status = await system.change(version(9, True), 7)
        if status is not None and status < 500:
            break
        await asyncio.sleep(0.3)
    if status is None or status >= 500:
        raise CannotRun("the change got no clear answer")
    await asyncio.sleep(3)  # configApplyMs
    until = system.record.now() + PLAY_S
    await asyncio.gather(search(system, "key-of-leser", 0.1, until, counts["key-of-leser"]),
                         search(system, "key-of-the-new-tenant", 0.25, until, counts["key-of-the-new-tenant"]))
    for key, seen in counts.items():
        system.record(f"{key}: answers by status {seen}")
    at_fault = machines_at_fault(system)
    text = (f"the change was answered with {status}; {len(system.own_ends)} processes ended by themselves, on "
            f"{', '.join(at_fault) or 'no machine'} three times in 10 s")
    system.record(text)
    print(text)
    return bool(at_fault) and len(at_fault) >= len(system.gateways) / 10


async def main():
    system = System(HERE)
    try:
        return 1 if await play(system) else 0
    except CannotRun as error:
        system.record(f"cannot run: {error}")
        return 2
    finally:
        await system.end()


assert deployment.messagepack.pack is pack
sys.exit(asyncio.run(main()))
