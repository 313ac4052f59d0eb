"""VMs of a run: node processes, their backend servers, and the injection of faults."""

from __future__ import annotations

import asyncio
import json
import math
import signal
import sys
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from pathlib import Path

from mesh_site import HOST, Site, reserve_port, send
from soak.backend import SERVICE_NAMES, SLOTS, CallingBackend
from soak.client_kinds import IDLE_TIMEOUT_S, VARIED_DEADLINE_S
from soak.faults import (
    Configure,
    CrashBackend,
    DrainBackend,
    Fault,
    HarmPath,
    HarmStore,
    KillNode,
    PauseNode,
    ReloadNode,
    SpoilBackend,
    StopNode,
)
from soak.proxy import Proxy
from soak.stalls import StallWatch

ZONES = 2
HEARTBEAT_S = 0.3
DRAIN_S = 2.0
GRACE_S = 6.0
RETRY_SLACK = 48
RETRY_RATIO = 0.2
MAX_ATTEMPTS = 2
SETTINGS = """
[node]
id = "n{number}"
zone = "z{zone}"
service = "{service}"
clients = "{clients}"
peers = "{peers}"
advertised = "{advertised}"
readiness = "{control}"
announcements = "{control}"
is_first_start = {is_first_start}
backend = "{backend}"

[store]
address = "{store}"

[stopping]
drain_s = {drain_s}
grace_s = {grace_s}

[retries]
ratio = {ratio}
slack = {slack}
"""


@dataclass(slots=True)
class Injection:
    """A fault that was injected."""

    fault: Fault
    began_at: float
    ended_at: float = math.inf


class Vm:
    """A VM with a node process and a backend server, controlled by ``Cluster``.

    Parameters
    ----------
    has_proxies : bool
        Whether its connections go through proxies, which network faults need.
    """

    def __init__(
        self, number: int, site: Site, folder: Path, has_proxies: bool
    ) -> None:
        self.number = number
        self.service = SERVICE_NAMES[number % len(SERVICE_NAMES)]
        self.client_address = f"{HOST}:{reserve_port()}"
        self.peer_address = f"{HOST}:{reserve_port()}"
        self.control_address = f"{HOST}:{reserve_port()}"
        self.backend_address = f"{HOST}:{reserve_port()}"
        self.addresses = {
            "store": site.store.address,
            "backend": self.backend_address,
            "peers": self.peer_address,
        }
        self.proxies = {
            end: Proxy(address)
            for end, address in self.addresses.items()
            if has_proxies
        }
        for end, proxy in self.proxies.items():
            self.addresses[end] = proxy.address
        self.settings_path = folder / f"n{number}.toml"
        self.log_path = folder / f"n{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.stopped_at: dict[int, float] = {}
        """Time of the first SIGTERM to a node process, by the value of ``starts``."""
        self.should_run = True
        """Whether the node is restarted; false while ``KillNode`` keeps it down."""
        self.backends: list[CallingBackend] = []
        self.is_backend_up = False
        self.backend_state = "ready"
        """State that its heartbeats announce: ``ready`` or ``draining``."""
        self.drain_acknowledged_at: dict[str, float] = {}
        """Time at which the node acknowledged that an instance drains, by instance."""
        self.suspensions: list[tuple[float, float]] = []
        """Beginnings and ends of the times in which the node's process did not run, as
        its log tells."""

    def write_settings(self) -> None:
        self.settings_path.write_text(
            SETTINGS.format(
                number=self.number,
                zone=self.number % ZONES,
                service=self.service,
                clients=self.client_address,
                peers=self.peer_address,
                advertised=self.addresses["peers"],
                control=self.control_address,
                backend=self.addresses["backend"],
                store=self.addresses["store"],
                drain_s=DRAIN_S,
                grace_s=GRACE_S,
                is_first_start="false" if self.starts else "true",
                ratio=RETRY_RATIO,
                slack=RETRY_SLACK,
            )
        )

    async def start_node(self) -> None:
        """Start a process of the node, with settings written anew."""
        self.write_settings()
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "cassiahatch_node.mesh", str(self.settings_path),
                stdout=log, stderr=log,
            )  # fmt: skip

    def read_suspensions(self) -> None:
        """Read from the log when the node's process did not run."""
        offset = time.time() - asyncio.get_running_loop().time()
        for line in self.log_path.read_text().splitlines():
            if '"woke_up"' in line and line.endswith("}"):
                record = json.loads(line)
                ended_at = record["at"] - offset
                self.suspensions.append((ended_at - record["gap_s"], ended_at))

    def signal_node(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node if its process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop_node(self) -> None:
        """Send SIGTERM to the node, and SIGKILL if it still runs ``GRACE_S`` later."""
        process = self.process
        now = asyncio.get_running_loop().time()
        self.stopped_at.setdefault(self.starts, now)
        self.signal_node(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            with suppress(ProcessLookupError):
                process.kill()

    async def start_backend(self, stack: AsyncExitStack) -> None:
        """Start a new instance of the backend server."""
        instance = f"{self.service}-{self.number}-{len(self.backends)}"
        backend = CallingBackend(self.service, instance, self.client_address)
        backend.address = self.backend_address
        backend.born = 1000 + len(self.backends)
        await backend.open(stack)
        self.backends.append(backend)
        self.backend_state, self.is_backend_up = "ready", True

    def crash_backend(self) -> None:
        """Crash the backend server if it is running."""
        if self.is_backend_up:
            self.is_backend_up = False
            self.backends[-1].crash()

    async def send_heartbeats(self) -> None:
        """Send heartbeats of the backend server to the node until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_backend_up:
                continue
            backend, state = self.backends[-1], self.backend_state
            backend.sequence += 1
            body = {
                "service": self.service,
                "address": backend.address,
                "zone": f"z{self.number % ZONES}",
                "slots": SLOTS,
                "state": state,
                "sequence": backend.sequence,
                "born": backend.born,
            }
            path = f"/v1/Instances.Heartbeat/{backend.instance}"
            if await self._post_to_node(path, body) and state == "draining":
                now = asyncio.get_running_loop().time()
                self.drain_acknowledged_at.setdefault(backend.instance, now)

    async def announce_leave(self) -> None:
        """Announce to the node that the backend server leaves now."""
        await self._post_to_node(
            f"/v1/Instances.Leave/{self.backends[-1].instance}", {}
        )

    async def _post_to_node(self, path: str, body: dict) -> bool:
        try:
            async with asyncio.timeout(1.0):
                data = json.dumps(body).encode()
                return (
                    await send(self.control_address, "POST", path, body=data)
                ).status == 200
        except (TimeoutError, OSError):
            return False


class Cluster:
    """All VMs and the platform's store; a context manager that ends their processes."""

    def __init__(self, site: Site, folder: Path, vms: int, has_proxies: bool) -> None:
        self.site = site
        self.vms = [Vm(number, site, folder, has_proxies) for number in range(vms)]
        self.injections: list[Injection] = []
        self.stall_watch = StallWatch()
        self.stored_at: dict[int, float] = {}
        """Time at which each version of the configuration was stored."""
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()
        self._path_faults: dict[Proxy, int] = {}
        """Number of faults injected so far, by proxy, so that the end of an earlier
        fault does not end a later one."""

    async def __aenter__(self) -> Cluster:
        self.configure()
        for vm in self.vms:
            for proxy in vm.proxies.values():
                await proxy.open(self._stack)
            await vm.start_backend(self._stack)
            await vm.start_node()
            self.spawn(vm.send_heartbeats())
            self.spawn(self._keep_node_running(vm))
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        await self._stack.aclose()

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task, which is cancelled when the context is left."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def configure(self) -> None:
        """Store the next configuration, with a route for each version so far."""
        # Site.configure raises the version by 3.
        versions = [*self.stored_at, self.site.config_version + 3]
        routes = {
            name: {
                "prefix": f"/{name}/",
                "service": name,
                "max_attempts": MAX_ATTEMPTS,
                "timeout_s": 2,
            }
            for name in SERVICE_NAMES
        }
        routes["order"] = routes["shop"] | {"prefix": "/order/", "kind": "unsafe"}
        varied = {"timeout_s": VARIED_DEADLINE_S}
        routes["read"] = routes["maps"] | varied | {"prefix": "/read/"}
        routes["write"] = (
            routes["books"] | varied | {"prefix": "/write/", "kind": "unsafe"}
        )
        routes |= {
            f"v{version}": {"prefix": f"/v{version}/", "service": "maps"}
            for version in versions
        }
        self.site.configure(routes, idle_timeout_s=IDLE_TIMEOUT_S)
        self.stored_at[self.site.config_version] = asyncio.get_running_loop().time()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, end it after its duration, and record both times."""
        loop = asyncio.get_running_loop()
        injection = Injection(fault, loop.time())
        self.injections.append(injection)
        await self._apply(fault)
        injection.ended_at = loop.time()

    async def _apply(self, fault: Fault) -> None:
        match fault:
            case KillNode(vms=vms, for_s=for_s):
                for number in vms:
                    self.vms[number].should_run = False
                    self.vms[number].signal_node(signal.SIGKILL)
                await asyncio.sleep(for_s)
                for number in vms:
                    self.vms[number].should_run = True
            case StopNode(vm=number):
                await self.vms[number].stop_node()
            case PauseNode(vm=number, for_s=for_s):
                self.vms[number].signal_node(signal.SIGSTOP)
                await asyncio.sleep(for_s)
                self.vms[number].signal_node(signal.SIGCONT)
            case ReloadNode(vm=number):
                self.vms[number].signal_node(signal.SIGHUP)
            case CrashBackend(vm=number, for_s=for_s):
                await self._replace_backend(self.vms[number], for_s)
            case DrainBackend(vm=number):
                await self._drain_backend(self.vms[number])
            case SpoilBackend(vm=number, action=action, count=count):
                backend = self.vms[number].backends[-1]
                backend.script += [action] * count
                while backend.script:
                    await asyncio.sleep(0.05)
            case HarmPath(vm=number, end=end, mode=mode, for_s=for_s):
                await self._impair_path(self.vms[number].proxies[end], mode, for_s)
            case HarmStore(how=how, for_s=for_s):
                await self._impair_store(how, for_s)
            case Configure(count=count):
                for _ in range(count):
                    self.configure()
                    await asyncio.sleep(0.1)

    async def _keep_node_running(self, vm: Vm) -> None:
        """Restart the node whenever its process has ended, until cancelled."""
        while True:
            await vm.process.wait()
            while not vm.should_run:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            await vm.start_node()

    async def _replace_backend(self, vm: Vm, for_s: float) -> None:
        if not vm.is_backend_up:
            return
        vm.crash_backend()
        await asyncio.sleep(for_s)
        await vm.start_backend(self._stack)

    async def _drain_backend(self, vm: Vm) -> None:
        if not vm.is_backend_up or vm.backend_state != "ready":
            return
        backend, vm.backend_state = vm.backends[-1], "draining"
        await asyncio.sleep(DRAIN_S + 2 * HEARTBEAT_S)
        if vm.is_backend_up and vm.backends[-1] is backend:
            await vm.announce_leave()
            await asyncio.sleep(0.3)
            await self._replace_backend(vm, 0.2)

    async def _impair_path(self, proxy: Proxy, mode: str, for_s: float) -> None:
        number = self._path_faults[proxy] = self._path_faults.get(proxy, 0) + 1
        proxy.set_mode(mode)
        await asyncio.sleep(for_s)
        if self._path_faults[proxy] == number:
            proxy.set_mode("pass")

    async def _impair_store(self, how: str, for_s: float) -> None:
        store = self.site.store
        match how:
            case "forget":
                store.drop_history()
                return
            case "down":
                store.is_down = True
            case "lossy":
                store.loses_answers = True
        await asyncio.sleep(for_s)
        store.is_down = store.loses_answers = False
