"""Bookings with a long body at servers that answer before they have read it, while some answers are lost."""

import asyncio
import os
import pathlib
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from system import CannotRun, System, ZONES, configuration, read_response, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY = 2 << 20        # bytes of a booking; `requestLimits.maxBodyBytes` of the page's example is 64 MiB
SERVERS = 8           # of `leihkonto`; the site has 9
LOSING = 4            # of them lose answers: `share` 0.5
LOST_SHARE = 0.03     # of the requests that these servers ran in that time: `x` 0.03
REQUESTS = 480
CLIENTS = 8
LOSS_FROM_S, LOSS_FOR_S = 1.0, 4.0  # after the first booking; `for_s` 4 of the variant that resets
WORK_S = 0.078        # `work_ms` of lizenz-buchung
DEADLINE_MS = 5000
SEGMENT = 1460        # as on an Ethernet, where a machine's buffers are smaller than on loopback
PROMISES = (408, 421, 429, 503)


class Server:
    """Works on a request as soon as it has its head, answers it, and reads the rest of a long body after that."""

    def __init__(self, system, number, runs, loses):
        self.system, self.runs, self.loses = system, runs, loses
        self.id, self.service, self.zone = f"i-{number}", "leihkonto", ZONES[number % 3]

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        listener.bind(("127.0.0.1", 0))
        self.listener = await asyncio.start_server(self.serve, sock=listener, limit=64 * 1024)
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        self.system.platform.add(self)

    in_trouble = {"from": None, "ran": 0, "lost": 0}  # of all servers that lose answers

    def loses_this_answer(self):
        trouble, now = Server.in_trouble, self.system.record.now()
        if trouble["from"] is None:
            trouble["from"] = now + LOSS_FROM_S
        if not (TROUBLE and self.loses and 0 <= now - trouble["from"] < LOSS_FOR_S):
            return False
        trouble["ran"] += 1
        if trouble["lost"] + 1 > LOST_SHARE * trouble["ran"]:
            return False
        trouble["lost"] += 1
        return True

    async def serve(self, reader, writer):
        try:
            while await self.exchange(reader, writer):
                pass
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def exchange(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expected-instance") != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
            return False
        self.runs.setdefault(attempt, []).append(self.id)
        self.system.record(f"{self.id} runs {attempt}")
        await asyncio.sleep(WORK_S)
        if self.loses_this_answer():
            self.system.record(f"{self.id} has run {attempt}; its answer is lost, the connection is reset")
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return False
        body = f"booked {attempt}\n"
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{len(body)}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        await writer.drain()
        left = int(fields.get("content-length", "0"))
        while left > 0:
            piece = await reader.read(min(left, 64 * 1024))
            if not piece:
                return False
            left -= len(piece)
        return True


async def send_bookings(system, number, answers):
    """A client that sends one booking after the other, each on a connection of its own, and repeats none."""
    for i in range(REQUESTS // CLIENTS):
        attempt = f"b{number}-{i}"
        head = (f"POST /buchung/{attempt} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Remaining-Ms: {DEADLINE_MS}\r\nX-Api-Key: key-of-leser\r\nContent-Length: {BODY}\r\n\r\n")
        writer = None
        try:
            gateway = system.gateways[(number + i) % len(system.gateways)]
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.frontend), 2)
            writer.write(head.encode() + bytes(BODY))
            await asyncio.wait_for(writer.drain(), 5)
            response = await asyncio.wait_for(read_response(reader), 6)
        except (OSError, asyncio.TimeoutError):
            response = None
        finally:
            if writer:
                writer.close()
        answers[attempt] = response[0] if response else None
        system.record(f"client {number} sent {attempt}, and got {answers[attempt]}")


async def play(system):
    runs, answers = {}, {}
    for number in range(SERVERS):
        await Server(system, number, runs, number < LOSING).start()
    await system.start(configuration(7, [route("lizenz-buchung", "/buchung/", "non_idempotent", "leihkonto", 5000)]))
    await asyncio.sleep(1)
    await asyncio.gather(*(send_bookings(system, number, answers) for number in range(CLIENTS)))
    await asyncio.sleep(2)
    served = sum(status == 200 for status in answers.values())
    system.record(f"{len(answers)} bookings sent, {served} answered with 200, {len(runs)} have run")
    if served < len(answers) / 2:
        raise CannotRun("most bookings failed for another reason")
    broken = []
    for attempt, servers in runs.items():
        if len(servers) > 1:
            broken.append(f"TWICE: {attempt} ran {len(servers)} times, at {', '.join(servers)}; its client got "
                          f"{answers.get(attempt)}")
        if answers.get(attempt) in PROMISES:
            broken.append(f"REFUSED: {attempt} ran at {', '.join(servers)}, and its client got {answers[attempt]}")
    for line in broken:
        system.record(line)
        print(line)
    return broken


async def main():
    system = System(HERE)
    try:
        return 1 if await play(system) else 0
    except CannotRun as error:
        system.record(f"cannot run: {error}")
        return 2
    finally:
        await system.end()


sys.exit(asyncio.run(main()))
