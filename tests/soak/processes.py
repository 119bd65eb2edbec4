"""The system's own processes: their settings, and their start, signals and end."""

import asyncio
import json
import os
import signal

GRACE_S = 6


class Process:
    """One process of the system, and what was done to it."""

    def __init__(self, world, role, number):
        self.world = world
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = f"127.{80 + world.network}.{1 if role == 'control' else 2}.{number + 1}"
        self.process = None
        self.killed = False       # its end was ours: nothing is promised to its clients
        self.frozen = False       # and what it holds may run out of time
        self.terminated = False
        self.quiet_since = 0.0    # since when nothing but planned work was done to it

    @property
    def frontend(self):
        return (self.ip, self.world.ports + 2)

    def write_settings(self, bootstrap):
        ports = self.world.ports
        seeds = [f"{process.ip}:{ports + 4}" for process in self.world.controls]
        self.world.random.shuffle(seeds)
        settings = {
            "nodeName": self.name, "ipAddress": self.ip, "zone": "z",
            "listeners": {"frontend": f"{self.ip}:{ports + 2}", "readiness": f"{self.ip}:{ports + 3}",
                          "controlPlane": f"{self.ip}:{ports + 4}"},
            "internalPortRange": [ports, ports + 1], "seedNodes": seeds[:3], "bootstrap": bootstrap,
            "requestLimits": {"memoryMb": 128, "maxFileDescriptors": 2000, "networkMbps": 1000},
            "bounds": {"drainTimeoutMs": 4000, "gracePeriodS": GRACE_S, "ackTimeoutMs": 6000, "revocationGlobal": True,
                       "revocationMs": 5000, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20,
                       "retryBudgetRatio": 0.2, "retryBudgetSlack": 50, "maxHoldMs": 10000},
            "faultTolerance": {"machineFailures": 1},
            "platformApi": {"address": self.world.platform.address, "ratePerS": 100}}
        if self.role == "control":
            settings["dataDirectory"] = str(self.world.folder / self.name)
        temporary = self.world.folder / f"{self.name}.new"
        temporary.write_text(json.dumps(settings))
        os.replace(temporary, self.world.folder / f"{self.name}.json")

    async def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        self.killed = self.terminated = self.frozen = False
        self.quiet_since = self.world.now()
        log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.world.program, self.role, "--config", str(self.world.folder / f"{self.name}.json"),
            stdout=log, stderr=log)
        log.close()
        asyncio.ensure_future(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if self.world.ending or process is not self.process:
            return
        if not self.killed and not (self.terminated and code == 0):
            self.world.violation(f"{self.name} ended by itself with {code}")
        await asyncio.sleep(self.world.random.uniform(0.05, 1.5))
        if not self.world.ending:
            await self.start()

    @property
    def is_up(self):
        return self.process is not None and self.process.returncode is None and not self.terminated

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def terminate(self):
        self.terminated = True
        self.send(signal.SIGTERM)
        process = self.process
        asyncio.get_event_loop().call_later(GRACE_S, lambda: self.end_late(process))

    def end_late(self, process):
        if process.returncode is None and process is self.process:
            self.world.violation(f"{self.name} has not ended {GRACE_S} s after SIGTERM")
            self.kill()

    def kill(self):
        self.killed = True
        self.quiet_since = self.world.now()
        self.send(signal.SIGKILL)

    def freeze(self, seconds):
        self.frozen = True
        self.send(signal.SIGSTOP)
        process = self.process
        asyncio.get_event_loop().call_later(seconds, lambda: process.returncode is None
                                            and process.send_signal(signal.SIGCONT))

    def reload(self):
        self.write_settings(False)
        self.send(signal.SIGHUP)
