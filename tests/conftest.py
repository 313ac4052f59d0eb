from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

import pytest

from cassiahatch_kernel.registry import load_plugins
from cassiahatch_standins.deployments import make_hielo_sur
from cassiahatch_standins.site import Site, SiteSpec

Result = TypeVar("Result")


class RunningSite:
    """A site and the event loop in which tests talk to it."""

    def __init__(self, spec: SiteSpec, folder: Path) -> None:
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.site = Site(spec, folder)

    def __enter__(self) -> RunningSite:
        self.run(self.site.__aenter__())
        return self

    def __exit__(self, *exception: object) -> None:
        self.run(self.site.__aexit__())
        self.loop.close()

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return self.loop.run_until_complete(work)


@pytest.fixture(scope="session", autouse=True)
def plugins() -> None:
    load_plugins()


@pytest.fixture(scope="module")
def hielo_sur(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RunningSite]:
    spec = make_hielo_sur(upstreams=2, settings={"tracing": {"sample": 1.0}})
    with RunningSite(spec, tmp_path_factory.mktemp("hielo-sur")) as running:
        yield running
