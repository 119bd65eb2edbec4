"""Clients, which keep using an open connection until its process is gone, and the operator."""

import asyncio

import messagepack
from http_messages import message_bytes, read_message

PROMISES = (408, 421, 429, 503)  # the request has not run and never will
ROUTES = {"/a/": ("GET", "plain"), "/b/": ("POST", "writes"), "/k/": ("GET", "sharded")}


class Client:
    """Sends requests one after the other and checks each response."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.sent = 0

    async def run(self):
        while not self.world.ending:
            gateways = [gateway for gateway in self.world.gateways if gateway.is_up]
            if not gateways:
                await asyncio.sleep(0.1)
                continue
            await self.use(self.world.random.choice(gateways))

    async def use(self, gateway):
        process = gateway.process
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.frontend), 1)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            return
        try:
            while not self.world.ending and await self.exchange(gateway, process, reader, writer):
                await asyncio.sleep(self.world.random.expovariate(1 / 0.05))
        except OSError:
            pass
        finally:
            writer.close()

    async def exchange(self, gateway, process, reader, writer):
        """Sends one request; returns whether the connection can be used again."""
        world = self.world
        self.sent += 1
        attempt = f"c{self.number}-{self.sent}"
        prefix = world.random.choice(list(ROUTES))
        method, service = ROUTES[prefix]
        target = f"{prefix}{attempt}"
        fields = {"Host": "a.example", "X-Attempt-Id": attempt, "X-Api-Key": "key", "X-Deadline-Remaining-Ms": "3000"}
        if service == "sharded":
            fields["X-Shard-Key"] = str(world.random.randrange(65536))
        body = b"x" * world.random.randint(0, 200) if method == "POST" else b""
        started = world.now()
        writer.write(message_bytes(f"{method} {target} HTTP/1.1", fields, body))
        try:
            response = await asyncio.wait_for(read_message(reader), 5)
        except asyncio.TimeoutError:
            if not self.is_excused(gateway, process, started):
                world.violation(f"{attempt} got no response within 5 s from {gateway.name}")
            return False
        if response is None:
            self.check_loss(gateway, process, attempt, started)
            return False
        world.check_response(attempt, target, method, service, response)
        return response.fields.get("connection", "").lower() != "close"

    def is_excused(self, gateway, process, started):
        return gateway.killed or gateway.frozen or gateway.process is not process or gateway.quiet_since > started

    def check_loss(self, gateway, process, attempt, started):
        """LOST: a request that a server has run, on a connection that its gateway ended without a response."""
        self.world.closed += 1
        if attempt in self.world.finished and not self.is_excused(gateway, process, started):
            self.world.violation(f"LOST: {attempt} ran, and {gateway.name} closed its connection")


class Operator:
    """Changes the configuration, and sends each change again until its outcome is clear."""

    def __init__(self, world):
        self.world = world
        self.revision = 0

    def configuration(self, revision):
        routes = [{"name": name, "hostname": "a.example", "pathPrefix": prefix,
                   "routeType": "idempotent" if method == "GET" else "non_idempotent", "timeoutMs": 3000,
                   "targetLatencyMs": 800, "priority": 1, "targetService": name, "maxAttempts": 2, "public": False}
                  for prefix, (method, name) in ROUTES.items()]
        routes += [{"name": f"added-{i}", "hostname": "b.example", "pathPrefix": f"/{revision}/{i}/",
                    "routeType": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 800, "priority": 1,
                    "targetService": "plain", "maxAttempts": 2, "public": False} for i in range(revision % 40)]
        services = [{"name": name, "healthCheckPath": "/health", "maxConnections": 600, "sharded": name == "sharded"}
                    for _, name in ROUTES.values()]
        return messagepack.pack({"revision": revision, "routeRules": routes, "backendServices": services,
                                 "tenants": [{"name": "reader", "apiKeys": ["key"], "priority": 0, "ratePerS": 0,
                                              "burstSize": 0}]})

    async def change(self, within):
        """Returns whether a new revision has been acknowledged in that time."""
        base, revision = self.revision, self.revision + self.world.random.randint(1, 3)
        body = self.configuration(revision)
        end = self.world.now() + within
        while self.world.now() < end and not self.world.ending:
            control = self.world.random.choice(self.world.controls)
            status = await self.post((control.ip, self.world.ports + 4), base, body)
            if status == 200:
                self.revision = revision
                return True
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                self.world.violation(f"configuration {revision} on {base} was refused with {status}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def post(self, address, base, body):
        for _ in range(3):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
                writer.write(message_bytes("POST /api/Configuration.Replace HTTP/1.1",
                                           {"Host": "a", "X-Base-Revision": base, "Connection": "close"}, body))
                response = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                return None
            if response is None or response.status != 307:
                return response.status if response else None
            host, _, port = response.fields["location"].split("/")[2].partition(":")
            address = (host, int(port))
        return None
