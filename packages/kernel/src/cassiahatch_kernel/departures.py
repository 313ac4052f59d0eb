"""Processes of a backend server that have left for good."""

from __future__ import annotations

from collections.abc import Iterable

Process = tuple[int, str]
"""Start of a process, in milliseconds since the Unix epoch, and its instance."""
MAX_DEPARTURES = 4
"""Instances remembered for one VM. A message of an older one would have to be on its way
while as many processes start and leave there."""


class Departures:
    """The departed processes of one VM's backend server.

    A process may start under the instance of an earlier one. So a departure holds for all
    processes of its instance that started no later, and for none that starts after it.

    Parameters
    ----------
    processes : iterable of Process, optional
        Departures to begin with.
    """

    __slots__ = ("_born_by_instance",)

    def __init__(self, processes: Iterable[Process] = ()) -> None:
        self._born_by_instance: dict[str, int] = {}
        self.merge(processes)

    def record(self, process: Process) -> bool:
        """Record that a process has left, and return whether that was not known."""
        born_ms, instance = process
        if self.covers(process):
            return False
        known = self._born_by_instance
        known[instance] = born_ms
        if len(known) > MAX_DEPARTURES:
            del known[min(known, key=known.__getitem__)]
        return instance in known

    def merge(self, processes: Iterable[Process]) -> None:
        """Record several departures."""
        for process in processes:
            self.record(process)

    def covers(self, process: Process) -> bool:
        """Return whether a process has left."""
        born_ms, instance = process
        return born_ms <= self._born_by_instance.get(instance, -1)

    def forget(self, instance: str) -> None:
        """Forget the departure of an instance that another writer has announced."""
        self._born_by_instance.pop(instance, None)

    def list_processes(self) -> tuple[Process, ...]:
        """Return the departures."""
        return tuple((born, name) for name, born in self._born_by_instance.items())
