"""VMs of a run: node processes, their backend servers, and what harms them."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

from mesh_site import HOST, Site, reserve_port, send
from soak.backend import SLOTS, CallingBackend
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

SERVICES = ("shop", "books", "maps", "shop", "books", "maps")
"""Service of each VM; runs of the shop call the books, those the maps."""
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


class Vm:
    """One VM; tasks of the world act on it."""

    def __init__(self, number: int, site: Site, folder: Path) -> None:
        self.number = number
        self.service = SERVICES[number]
        self.clients = f"{HOST}:{reserve_port()}"
        self.peers = f"{HOST}:{reserve_port()}"
        self.control = f"{HOST}:{reserve_port()}"
        self.backend_address = f"{HOST}:{reserve_port()}"
        self.proxies = {
            "store": Proxy(site.store.address),
            "backend": Proxy(self.backend_address),
            "peers": Proxy(self.peers),
        }
        self.path = folder / f"n{number}.toml"
        self.log = folder / f"n{number}.log"
        self.child: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.is_wanted = True
        """Whether the node should run; false while a fault keeps it down."""
        self.backends: list[CallingBackend] = []
        self.is_up = False
        """Whether the backend server runs."""
        self.state = "ready"
        self.leaving_known_at: dict[str, float] = {}
        """When the node acknowledged that a process of the backend server leaves."""

    def write_settings(self) -> None:
        """Write the settings file of the node."""
        self.path.write_text(
            SETTINGS.format(
                number=self.number,
                zone=self.number % ZONES,
                service=self.service,
                clients=self.clients,
                peers=self.peers,
                advertised=self.proxies["peers"].address,
                control=self.control,
                backend=self.proxies["backend"].address,
                store=self.proxies["store"].address,
                drain_s=DRAIN_S,
                grace_s=GRACE_S,
                is_first_start="false" if self.starts else "true",
                ratio=RETRY_RATIO,
                slack=RETRY_SLACK,
            )
        )

    async def start_node(self) -> None:
        """Start the node's process."""
        self.write_settings()
        self.starts += 1
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "cassiahatch_node.mesh", str(self.path),
                stdout=log, stderr=log,
            )  # fmt: skip

    def signal_node(self, number: signal.Signals) -> None:
        """Send a signal to the node, if it runs."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def start_backend(self, stack: AsyncExitStack) -> None:
        """Start another process of the backend server."""
        instance = f"{self.service}-{self.number}-{len(self.backends)}"
        backend = CallingBackend(self.service, instance, self.clients)
        backend.address = self.backend_address
        backend.born = 1000 + len(self.backends)
        await backend.open(stack)
        self.backends.append(backend)
        self.state, self.is_up = "ready", True

    def crash_backend(self) -> None:
        """End the backend server's process."""
        if self.is_up:
            self.is_up = False
            self.backends[-1].crash()

    async def heartbeat(self) -> None:
        """Send heartbeats, for ever."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_up:
                continue
            backend, state = self.backends[-1], self.state
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
            if await self._tell(path, body) and state == "draining":
                now = asyncio.get_running_loop().time()
                self.leaving_known_at.setdefault(backend.instance, now)

    async def leave(self) -> None:
        """Say that the backend server leaves now."""
        await self._tell(f"/v1/Instances.Leave/{self.backends[-1].instance}", {})

    async def _tell(self, path: str, body: dict) -> bool:
        try:
            async with asyncio.timeout(1.0):
                data = json.dumps(body).encode()
                return (await send(self.control, "POST", path, body=data)).status == 200
        except (TimeoutError, OSError):
            return False


class World:
    """All VMs and the platform's store; a context manager that ends its processes."""

    def __init__(self, site: Site, folder: Path) -> None:
        self.site = site
        self.vms = [Vm(number, site, folder) for number in range(len(SERVICES))]
        self.stored_at: dict[int, float] = {}
        """When each version of the configuration was stored."""
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()
        self._harms: dict[Proxy, int] = {}

    async def __aenter__(self) -> World:
        self.configure()
        for vm in self.vms:
            for proxy in vm.proxies.values():
                await proxy.open(self._stack)
            await vm.start_backend(self._stack)
            await vm.start_node()
            self.spawn(vm.heartbeat())
            self.spawn(self._keep_running(vm))
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms:
            if vm.child is not None and vm.child.returncode is None:
                vm.child.kill()
                await vm.child.wait()
        await self._stack.aclose()

    def spawn(self, work) -> None:
        """Run a coroutine until the world ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def configure(self) -> None:
        """Store the next version; each adds a route that tells it apart."""
        versions = [*self.stored_at, self.site.config_version + 3]
        routes = {
            name: {
                "prefix": f"/{name}/",
                "service": name,
                "max_attempts": MAX_ATTEMPTS,
                "timeout_s": 2,
            }
            for name in dict.fromkeys(SERVICES)
        }
        routes["order"] = routes["shop"] | {"prefix": "/order/", "kind": "unsafe"}
        routes |= {
            f"v{version}": {"prefix": f"/v{version}/", "service": "maps"}
            for version in versions
        }
        self.site.configure(routes)
        self.stored_at[self.site.config_version] = asyncio.get_running_loop().time()

    async def strike(self, fault: Fault) -> None:
        """Bring a fault about, and heal it in time."""
        match fault:
            case KillNode(vms=vms, for_s=for_s):
                for number in vms:
                    self.vms[number].is_wanted = False
                    self.vms[number].signal_node(signal.SIGKILL)
                await asyncio.sleep(for_s)
                for number in vms:
                    self.vms[number].is_wanted = True
            case StopNode(vm=number):
                self.vms[number].signal_node(signal.SIGTERM)
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
                self.vms[number].backends[-1].script += [action] * count
            case HarmPath(vm=number, end=end, mode=mode, for_s=for_s):
                await self._harm(self.vms[number].proxies[end], mode, for_s)
            case HarmStore(how=how, for_s=for_s):
                await self._harm_store(how, for_s)
            case Configure(count=count):
                for _ in range(count):
                    self.configure()
                    await asyncio.sleep(0.1)

    async def _keep_running(self, vm: Vm) -> None:
        """Start the node again whenever it has ended, for ever."""
        while True:
            await vm.child.wait()
            while not vm.is_wanted:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            await vm.start_node()

    async def _replace_backend(self, vm: Vm, for_s: float) -> None:
        if not vm.is_up:
            return
        vm.crash_backend()
        await asyncio.sleep(for_s)
        await vm.start_backend(self._stack)

    async def _drain_backend(self, vm: Vm) -> None:
        if not vm.is_up or vm.state != "ready":
            return
        backend, vm.state = vm.backends[-1], "draining"
        await asyncio.sleep(DRAIN_S + 2 * HEARTBEAT_S)
        if vm.is_up and vm.backends[-1] is backend:
            await vm.leave()
            await asyncio.sleep(0.3)
            await self._replace_backend(vm, 0.2)

    async def _harm(self, proxy: Proxy, mode: str, for_s: float) -> None:
        turn = self._harms[proxy] = self._harms.get(proxy, 0) + 1
        proxy.change(mode)
        await asyncio.sleep(for_s)
        if self._harms[proxy] == turn:
            proxy.change("pass")

    async def _harm_store(self, how: str, for_s: float) -> None:
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
