"""Stand-ins for what is outside of the system: servers, which record what they ran, and the platform's list of them."""

import asyncio

import messagepack
from http_messages import message_bytes, read_message

KEY_COUNT = 65536
KEY_STEP = 64  # holds are kept for blocks of so many keys


class Server:
    """A server of one service. Servers of the sharded service hold keys as the protocol page says."""

    def __init__(self, world, number, service):
        self.world = world
        self.id = f"i-{number}"
        self.service = service
        self.draining = self.listed = self.up = False
        self.clock_rate = world.random.uniform(0.98, 1.0)
        self.fences = [0] * (KEY_COUNT // KEY_STEP)
        self.held_until = [0.0] * (KEY_COUNT // KEY_STEP)
        self.tokens = 0
        self.running = 0
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        self.listed = self.up = True

    def stop(self):
        self.up = False
        self.listener.close()
        for writer in self.connections:
            writer.transport.abort()

    def entry(self):
        return {"instanceId": self.id, "targetService": self.service, "address": self.address, "zone": "z",
                "revision": "v1", "capacity": 8, "state": "draining" if self.draining else "available",
                "warmupRemainingMs": 0}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None and self.up:
                writer.write(await self.respond(request))
                await writer.drain()
        except OSError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, request):
        if request.fields.get("x-expected-instance") != self.id:
            return message_bytes("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.id})
        if request.target == "/api/grant":
            return self.grant(messagepack.unpack(request.body))
        if request.target == "/api/release":
            return self.release(messagepack.unpack(request.body))
        return await self.run(request)

    def blocks(self, call):
        return range(call["fromRevision"] // KEY_STEP, call["targetRevision"] // KEY_STEP + 1)

    def grant(self, call):
        now = self.world.now()
        if any(self.fences[block] > call["fence"] for block in self.blocks(call)):
            return message_bytes("HTTP/1.1 409 Conflict", {})
        until = now + call["holdDurationMs"] / 1000 / self.clock_rate
        for block in self.blocks(call):
            self.fences[block] = call["fence"]
            self.held_until[block] = max(self.held_until[block], until)
        self.world.check_owners(self, call)
        return message_bytes("HTTP/1.1 200 OK", {})

    def release(self, call):
        for block in self.blocks(call):
            self.held_until[block] = 0
        self.tokens += 1
        return message_bytes("HTTP/1.1 200 OK", {"X-Handover-Token": f"{self.id}-{self.tokens}"})

    def holds_inside(self, first, last):
        """Whether it holds keys that lie whole within the range: the blocks at its ends may have two owners."""
        now = self.world.now()
        inside = range(-(-first // KEY_STEP), (last + 1) // KEY_STEP)
        return any(self.held_until[block] > now for block in inside)

    async def run(self, request):
        attempt = request.fields.get("x-attempt-id", "")
        fields = {"X-Attempt-Id": attempt}
        key = request.fields.get("x-shard-key")
        if self.service == "sharded" and (key is None or self.held_until[int(key) // KEY_STEP] <= self.world.now()):
            return message_bytes("HTTP/1.1 421 Misdirected Request", {**fields, "X-Not-Executed": "1"})
        if self.running >= 16:
            return message_bytes("HTTP/1.1 503 Service Unavailable", {**fields, "X-Not-Executed": "1"})
        self.world.runs.setdefault(attempt, []).append(self.id)
        self.running += 1
        await asyncio.sleep(self.world.random.expovariate(1 / 0.02))
        self.running -= 1
        self.world.finished.add(attempt)
        body = f"{attempt} {request.target} ".encode() * self.world.random.randint(1, 20)
        return message_bytes("HTTP/1.1 200 OK", {**fields, "X-Server-Seal": f"seal-{len(body)}"}, body)


class Platform:
    """The platform's API: the list of servers, in one page."""

    def __init__(self, world):
        self.world = world

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while await read_message(reader) is not None:
                entries = [server.entry() for server in self.world.servers if server.listed]
                body = messagepack.pack({"instances": entries, "nextPageToken": None})
                writer.write(message_bytes("HTTP/1.1 200 OK", {"Content-Type": "application/msgpack"}, body))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
