"""HTTP client of the platform's object store."""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.adapters.platform import PlatformClient


@PLUGINS.register("objects", "http")
class HttpObjectStore:
    """Object store that is accessed over HTTP.

    Parameters
    ----------
    url : str
        Scheme, host and port of the object store.
    timeout_s : float
        Timeout of a request.
    """

    __slots__ = ("_platform",)

    def __init__(self, url: str, timeout_s: float) -> None:
        self._platform = PlatformClient("objects", url, timeout_s)

    def close(self) -> None:
        """Close the client."""
        self._platform.close()

    async def get(self, name: str) -> bytes | None:
        """Return the object's content, or None if it does not exist."""
        response = await self._platform.fetch("GET", f"/objects/{name}")
        return None if response.code == 404 else response.body

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._platform.fetch("PUT", f"/objects/{name}", body)
