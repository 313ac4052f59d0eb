"""A site on loopback: the platform, nodes and backend servers, each as a process."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from cassiahatch_kernel.plans import Customer, PlanLists, hash_key
from cassiahatch_node.adapters.objects import HttpObjectStore
from cassiahatch_node.adapters.table import HttpTable
from cassiahatch_node.control.client import ControlClient
from cassiahatch_node.control.lists import commit_lists
from cassiahatch_node.control.status import NodeStatus
from cassiahatch_node.http_client import fetch_response, make_client
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_standins.backend import BackendConfig, RouteConfig

MAX_CLIENTS = 1000
HOST = "127.0.0.1"
PEER_KEY = "a-key-for-loopback-only"
FIRST_PORT = 20000
LAST_PORT = 31000
READY_TIMEOUT_S = 60.0
CHECK_TIMEOUT_S = 5.0
CHECK_INTERVAL_S = 0.1
KILL_AFTER_S = 90.0


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """One service of a site and the configuration of its backend servers."""

    name: str
    slots: int
    routes: tuple[RouteConfig, ...]
    vm_count: int = 4
    """Number of VMs that run the service."""
    connections: int = 1000
    retries: int = 0
    """Maximum retries of each downstream call by the backend server itself."""


@dataclass(slots=True, frozen=True)
class SiteSpec:
    """Services, plan lists and node settings of a site.

    A site is one installation: the platform, and the VMs that run the services.
    """

    services: tuple[ServiceSpec, ...]
    lists: PlanLists
    zones: tuple[str, ...] = ("a", "b", "c", "d")
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    """Settings of every node by section; they override those that ``Site`` sets."""


@dataclass(slots=True)
class Vm:
    """A simulated VM: a node and its backend server, both on loopback."""

    node_id: str
    zone: str
    caller_port: int
    """Port of the node for requests of customers."""
    local_port: int
    """Port of the node for its own backend server."""
    peer_port: int
    """Port of the node for other nodes and operators."""
    backend: BackendConfig
    node_process: subprocess.Popen[bytes] | None = None
    backend_process: subprocess.Popen[bytes] | None = None

    @property
    def peer_address(self) -> str:
        """Host and peer port of the node."""
        return f"{HOST}:{self.peer_port}"

    @property
    def backend_url(self) -> str:
        """URL of the backend server."""
        return f"http://{HOST}:{self.backend.port}"


def list_free_ports(count: int, seed: int) -> list[int]:
    """Return ports on which no process listens at present.

    The search starts at a port that depends on ``seed``.
    """
    found: list[int] = []
    span = LAST_PORT - FIRST_PORT
    port = FIRST_PORT + seed * 97 % span
    while len(found) < count:
        port = FIRST_PORT + (port + 1 - FIRST_PORT) % span
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


def make_customer(name: str, plan: str) -> Customer:
    """Return a customer whose bearer key is ``key-NAME``."""
    return Customer(plan, hash_key(f"key-{name}"))


class Site:
    """Context manager that starts the processes of a site and kills them on exit.

    Parameters
    ----------
    spec : SiteSpec
        Services, plan lists and settings of the site.
    folder : Path
        Folder of the settings, the log of runs and the processes' logs.
    """

    def __init__(self, spec: SiteSpec, folder: Path) -> None:
        self.spec = spec
        self.folder = folder
        self.vms: list[Vm] = []
        self.platform_port = 0
        self._platform: subprocess.Popen[bytes] | None = None
        self.http = make_client(MAX_CLIENTS)
        self.control = ControlClient(PEER_KEY, Metrics())
        self._logs: list[Any] = []

    async def __aenter__(self) -> Site:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._prepare_vms()
        try:
            self.start_platform()
            await self.wait_for(self._is_platform_up, "the platform")
            await self.commit(0, self.spec.lists, "first")
            for vm in self.vms:
                self.start_node(vm)
                self.start_backend(vm)
            await self.wait_ready()
        except BaseException:
            self.kill_processes()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.kill_processes()

    @property
    def platform_url(self) -> str:
        """URL of the platform."""
        return f"http://{HOST}:{self.platform_port}"

    @property
    def journal_path(self) -> Path:
        """File in which the backend servers record each run of an idempotency key."""
        return self.folder / "journal"

    def count_runs(self) -> dict[str, int]:
        """Return the number of runs of each idempotency key."""
        runs: dict[str, int] = {}
        if self.journal_path.exists():
            for line in self.journal_path.read_text().splitlines():
                key = line.split()[2]
                runs[key] = runs.get(key, 0) + 1
        return runs

    def find_vms(self, service: str) -> list[Vm]:
        """Return the VMs that run a service."""
        return [vm for vm in self.vms if vm.backend.service == service]

    def start_platform(self) -> None:
        """Start the process of the platform."""
        self._platform = self._spawn(
            "platform",
            [
                sys.executable,
                "-m",
                "cassiahatch_standins.platform",
                str(self.platform_port),
            ],
        )

    def start_node(self, vm: Vm) -> None:
        """Start the node of a VM."""
        command = Path(sys.executable).with_name("cassiahatch-node")
        path = self.folder / f"{vm.node_id}.toml"
        vm.node_process = self._spawn(vm.node_id, [str(command), "run", str(path)])

    def start_backend(self, vm: Vm) -> None:
        """Start the backend server of a VM."""
        path = self.folder / f"{vm.node_id}.json"
        path.write_bytes(msgspec.json.encode(vm.backend))
        vm.backend_process = self._spawn(
            f"{vm.node_id}-backend",
            [sys.executable, "-m", "cassiahatch_standins.backend", str(path)],
        )

    def kill_processes(self) -> None:
        """Kill every process that this site started, including suspended ones."""
        processes = [self._platform]
        for vm in self.vms:
            processes += [vm.node_process, vm.backend_process]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()
        for log in self._logs:
            log.close()

    async def commit(self, base: int, lists: PlanLists, change_id: str) -> object:
        """Commit plan lists that replace version ``base``."""
        table = HttpTable(self.platform_url, 2.0)
        objects = HttpObjectStore(self.platform_url, 2.0)
        try:
            return await commit_lists(table, objects, base, lists, change_id)
        finally:
            table.close()
            objects.close()

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the platform; those not given are cleared."""
        await self._put(f"{self.platform_url}/faults", faults)

    async def set_backend_faults(self, vm: Vm, **faults: Any) -> None:
        """Set the faults of a backend server; those not given are cleared."""
        await self._put(f"{vm.backend_url}/faults", faults)

    async def read_status(self, vm: Vm) -> NodeStatus:
        """Return the status of a VM's node."""
        return await self.control.get(vm.peer_address, "/control/status", NodeStatus)

    async def wait_ready(self) -> None:
        """Wait until every node is ready and has the complete state of the site.

        It consists of the members, the plan lists and the holders of all partitions.
        """

        async def is_ready() -> bool:
            statuses = [await self.read_status(vm) for vm in self.vms]
            expected = self._count_partitions()
            return (
                all(s.state == "ready" for s in statuses)
                and all(s.ready_members == len(self.vms) for s in statuses)
                and all(s.lists_version > 0 for s in statuses)
                and all(s.partitions >= expected for s in statuses)
            )

        await self.wait_for(is_ready, "all nodes")

    async def wait_for(
        self,
        condition: Callable[[], Any],
        description: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> float:
        """Wait until a condition is met, and return the elapsed seconds.

        Raises
        ------
        TimeoutError
            If the condition is not met in time.
        """
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            try:
                async with asyncio.timeout(CHECK_TIMEOUT_S):
                    is_met = await condition()
                if is_met:
                    return time.monotonic() - started
            except Exception as error:
                last_error = error
            else:
                last_error = None
            await asyncio.sleep(CHECK_INTERVAL_S)
        raise TimeoutError(
            f"wait for {description} timed out after {timeout_s} s; "
            f"last error: {last_error}"
        )

    async def request(
        self,
        vm: Vm,
        method: str,
        path: str,
        customer: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 10.0,
    ) -> HTTPResponse | CurlError:
        """Send a request to a VM's node on behalf of a customer."""
        request = HTTPRequest(
            f"http://{HOST}:{vm.caller_port}{path}",
            method=method,
            headers={"Authorization": f"Bearer key-{customer}", **(headers or {})},
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=timeout_s,
        )
        return await fetch_response(self.http, request)

    def _count_partitions(self) -> int:
        shards = self.spec.settings.get("once", {}).get("shards", 16)
        keepers = self.spec.settings.get("quota", {}).get("keepers", 4)
        services = [
            service
            for service in self.spec.services
            if any(not route.idempotent for route in service.routes)
        ]
        return keepers + shards * len(services)

    async def _is_platform_up(self) -> bool:
        response = await self.http.fetch(f"{self.platform_url}/faults")
        return response.code == 200

    async def _put(self, url: str, body: Any) -> None:
        request = HTTPRequest(url, method="PUT", body=msgspec.json.encode(body))
        await self.http.fetch(request)

    def _prepare_vms(self) -> None:
        count = sum(service.vm_count for service in self.spec.services)
        ports = list_free_ports(1 + 4 * count, os.getpid())
        self.platform_port = ports.pop()
        for service in self.spec.services:
            for number in range(service.vm_count):
                self.vms.append(self._make_vm(service, number, ports))
        seeds = [vm.peer_address for vm in self.vms[:4]]
        for vm in self.vms:
            path = self.folder / f"{vm.node_id}.toml"
            path.write_text(self._render_settings(vm, seeds))

    def _make_vm(self, service: ServiceSpec, number: int, ports: list[int]) -> Vm:
        local_port = ports.pop()
        backend = BackendConfig(
            service=service.name,
            port=ports.pop(),
            node_port=local_port,
            slots=service.slots,
            routes=service.routes,
            connections=service.connections,
            retries=service.retries,
            journal=str(self.journal_path),
            seed=number,
        )
        return Vm(
            node_id=f"{service.name}-{number}",
            zone=self.spec.zones[number % len(self.spec.zones)],
            caller_port=ports.pop(),
            local_port=local_port,
            peer_port=ports.pop(),
            backend=backend,
        )

    def _render_settings(self, vm: Vm, seeds: list[str]) -> str:
        sections: dict[str, dict[str, Any]] = {
            "node": {
                "id": vm.node_id,
                "zone": vm.zone,
                "host": HOST,
                "caller_port": vm.caller_port,
                "local_port": vm.local_port,
                "peer_port": vm.peer_port,
            },
            "peers": {"key": PEER_KEY, "seeds": seeds},
            "platform": {"table": self.platform_url, "objects": self.platform_url},
        }
        for name, values in self.spec.settings.items():
            sections.setdefault(name, {}).update(values)
        lines: list[str] = []
        for name, values in sections.items():
            lines.append(f"[{name}]")
            for key, value in values.items():
                lines.append(f"{key} = {msgspec.json.encode(value).decode()}")
        return "\n".join(lines) + "\n"

    def _spawn(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        log = (self.folder / f"{name}.log").open("ab")
        self._logs.append(log)
        return subprocess.Popen(command, stdout=log, stderr=log)
