"""Client of the platform's object store: plain HTTP."""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.adapters.platform import PlatformClient


@PLUGINS.register("objects", "http")
class HttpObjectStore:
    """The object store at a URL.

    Parameters
    ----------
    url : str
        Scheme, host and port.
    timeout_s : float
        How long to wait for an answer.
    """

    __slots__ = ("_platform",)

    def __init__(self, url: str, timeout_s: float) -> None:
        self._platform = PlatformClient("objects", url, timeout_s)

    def close(self) -> None:
        """Close the client."""
        self._platform.close()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        response = await self._platform.fetch("GET", f"/objects/{name}")
        return None if response.code == 404 else response.body

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._platform.fetch("PUT", f"/objects/{name}", body)
