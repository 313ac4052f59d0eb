"""What the store holds, followed and kept up to date by two tasks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.configurations import (
    BadConfigurationError,
    Configuration,
    ConfigurationSource,
)
from cassiahatch_kernel.members import Member
from cassiahatch_kernel.ports import (
    FeedStore,
    HistoryGoneError,
    Row,
    Scan,
    StoreUnavailableError,
)
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import Hello, ReaderFrame, UpdateFrame
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.settings import StoreSection

MEMBER_TABLE = "members"
FROM_STORE = "store"
FROM_PEER = "peer"
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Pauses after the store failed; well below the 2 s in which it must be caught up
with once it is back."""

_MEMBER_DECODER = msgspec.json.Decoder(Member)
_MEMBER_ENCODER = msgspec.json.Encoder()


def encode_member(member: Member) -> bytes:
    """Return a member as it is stored."""
    return _MEMBER_ENCODER.encode(member)


class StoreSync:
    """The configuration in force and the members, from the store or from peers.

    Parameters
    ----------
    store : FeedStore
        The platform's store.
    source : ConfigurationSource
        Where in the store the configuration is, and how it is encoded.
    directory : Directory
        Takes the members.
    on_configuration : callable
        Puts a configuration in force.
    """

    def __init__(
        self,
        store: FeedStore,
        source: ConfigurationSource,
        directory: Directory,
        settings: StoreSection,
        clock: Clock,
        random_source: random.Random,
        journal: Journal,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._store = store
        self._source = source
        self._directory = directory
        self._settings = settings
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._on_configuration = on_configuration
        self._config_value = b""
        self._failing: set[str] = set()
        self._duty = asyncio.Event()
        self._duty.set()
        self.config_version = 0
        self.members_version = 0
        """Version of the store up to which all changes of members are known."""
        self._changed_at: dict[str, int] = {}
        """Store version by which each member's record was known to have changed; of a
        record that a peer sent, the version up to which its news went."""
        self.member_rows: dict[str, int] = {}
        """Store versions of the members' rows, by node."""
        self.on_members_read: Callable[[], None] = _ignore

    @property
    def is_complete(self) -> bool:
        """Whether the node knows routes, and has heard of members."""
        return self.config_version > 0

    async def follow_configuration(self) -> None:
        """Keep the configuration up to date, for ever."""
        await self._follow(self._source.table, self._take_configuration, 0.0)

    async def follow_members(self) -> None:
        """Keep the members up to date, for ever."""
        await self._follow(MEMBER_TABLE, self._apply_member_scan, self._settings.pace_s)

    @property
    def has_store(self) -> bool:
        """Whether the store answered last."""
        return not self._failing

    def change_duty(self, is_reader: bool) -> None:
        """Go on following the store, or leave that to others in the zone."""
        if is_reader:
            self._duty.set()
        else:
            self._duty.clear()

    def make_hello(self, link_version: int, node_id: str) -> Hello:
        """Return the greeting of this node."""
        return Hello(link_version, node_id, self.config_version, self.members_version)

    def make_reader_frame(self) -> ReaderFrame:
        """Return what tells the zone that this node follows the store for it."""
        return ReaderFrame(self.config_version, self.members_version)

    def is_behind(self, reader: ReaderFrame) -> bool:
        """Tell whether a reader knows more than this node."""
        return (
            reader.config_version > self.config_version
            or reader.members_version > self.members_version
        )

    def make_update(self, hello: Hello) -> UpdateFrame | None:
        """Return what the sender of a greeting lacks, or None."""
        config, members = b"", ()
        if hello.config_version < self.config_version:
            config = self._config_value
        since = hello.members_version
        if since < self.members_version:
            members = tuple(
                encode_member(member)
                for member in self._directory.members.values()
                if self._changed_at.get(member.node_id, since + 1) > since
            )
        if not config and not members:
            return None
        return UpdateFrame(
            config, self.config_version, members, since, self.members_version
        )

    def apply_update(self, news: UpdateFrame) -> None:
        """Take in what a peer knows from the store."""
        if news.config and news.config_version > self.config_version:
            self.adopt(news.config, FROM_PEER)
        for value in news.members:
            member = self._learn(value)
            if member is not None and news.members_version:
                self._note_change(member.node_id, news.members_version)
        if news.members_since <= self.members_version < news.members_version:
            since, self.members_version = self.members_version, news.members_version
            if self._duty.is_set():
                self._pass_on(
                    UpdateFrame(b"", 0, news.members, since, news.members_version)
                )
        if news.members:
            self.on_members_read()

    def _note_change(self, node_id: str, version: int) -> None:
        known = self._changed_at.get(node_id, 0)
        self._changed_at[node_id] = max(known, version)

    def adopt(self, value: bytes, origin: str) -> bool:
        """Put a stored configuration in force if it is newer than the one that is."""
        try:
            configuration = self._source.decode(value)
        except BadConfigurationError as error:
            self._journal.note("bad_configuration", origin=origin, error=error.detail)
            return False
        if configuration.version <= self.config_version:
            return False
        self.config_version = configuration.version
        self._config_value = value
        self._on_configuration(configuration)
        self._journal.note(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.rules),
            origin=origin,
        )
        if self._duty.is_set():
            self._pass_on(UpdateFrame(value, configuration.version))
        return True

    def _pass_on(self, news: UpdateFrame) -> None:
        for link in self._directory.list_zone_links():
            link.send_news(news)

    async def _follow(
        self, table: str, take: Callable[[Scan, bool], None], pace_s: float
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        since: int | None = None
        while True:
            if since is not None:
                await self._duty.wait()
            try:
                if since is None:
                    scan = await self._store.read_table(table)
                    take(scan, True)
                else:
                    scan = await self._store.follow_table(
                        table, since, self._settings.wait_s
                    )
                    take(scan, False)
            except HistoryGoneError:
                self._journal.note("store_history_gone", table=table)
                since = None
                continue
            except StoreUnavailableError as error:
                self._note_failure(table, error)
                await asyncio.sleep(backoff_s * (0.5 + self._random.random()))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            self._note_success(table)
            backoff_s = FIRST_BACKOFF_S
            since = scan.revision
            if pace_s and since is not None:
                await asyncio.sleep(pace_s * (0.5 + self._random.random()))

    def _take_configuration(self, scan: Scan, is_whole: bool) -> None:
        for row in scan.rows:
            if row.key == self._source.key:
                self.adopt(row.value, FROM_STORE)

    def _apply_member_scan(self, scan: Scan, is_whole: bool) -> None:
        for row in scan.rows:
            self._take_row(row)
        gone = set(scan.removed)
        if is_whole:
            gone |= self.member_rows.keys() - {row.key for row in scan.rows}
        for key in gone:
            self.member_rows.pop(key, None)
            self._directory.forget(key)
        since, self.members_version = self.members_version, scan.revision
        self.on_members_read()
        if scan.rows and not is_whole:
            records = tuple(row.value for row in scan.rows)
            self._pass_on(UpdateFrame(b"", 0, records, since, scan.revision))

    def _take_row(self, row: Row) -> None:
        self.member_rows[row.key] = row.version
        self._note_change(row.key, row.version)
        member = self._learn(row.value)
        if member is not None and member.node_id != row.key:
            self._journal.note("member_under_other_key", key=row.key)

    def _learn(self, value: bytes) -> Member | None:
        try:
            member = _MEMBER_DECODER.decode(value)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self._journal.note("bad_member", error=str(error))
            return None
        if self._directory.learn(member):
            self._journal.note(
                "member",
                member=member.node_id,
                service=member.service,
                instance=member.instance,
                state=member.state,
                sequence=member.sequence,
            )
        return member

    def _note_failure(self, table: str, error: StoreUnavailableError) -> None:
        if table not in self._failing:
            self._failing.add(table)
            self._journal.note("store_lost", table=table, error=error.detail)

    def _note_success(self, table: str) -> None:
        if table in self._failing:
            self._failing.discard(table)
            self._journal.note("store_regained", table=table)


def _ignore() -> None:
    """Do nothing until somebody listens."""
