"""The node's copy of the configuration and the members, kept in sync with the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.configurations import (
    BadConfigurationError,
    Configuration,
    ConfigurationSource,
)
from cassiahatch_kernel.members import Member
from cassiahatch_kernel.ports import (
    Conflict,
    FeedStore,
    HistoryGoneError,
    Row,
    Scan,
    StaleReadError,
    StoreUnavailableError,
)
from cassiahatch_kernel.store_versions import get_era
from cassiahatch_node.mesh.confirmations import ConfigurationAge, Confirmations
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import Hello, ReaderFrame, UpdateFrame
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.member_records import (
    BadMemberError,
    decode_member,
    encode_member,
)
from cassiahatch_node.mesh.missing_members import MissingMembers
from cassiahatch_node.mesh.record_confirmation import RecordConfirmation, RecordOrigin
from cassiahatch_node.mesh.settings import StoreSection
from cassiahatch_node.mesh.store_answers import StoreAnswers

MEMBER_TABLE = "members"
FROM_STORE = "store"
FROM_PEER = "peer"
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the backoff while the store is unavailable. A node must have caught up
within 2 s of the store's return, so the longest backoff is well below that."""
FLEET_POLLS_PER_S = 500
"""Polls a second, of each table, to which the backoff holds a fleet whose nodes all poll:
together half of the reads that the store allows."""
STRICT_MAX_BACKOFF_S = 0.6
"""The same for a node that must regain its configuration lease within 1 s of the store's
return; pauses are random, up to one and a half times as long."""


class StoreSync:
    """Local copy of the configuration and the members, with its store versions.

    One task follows the configuration in the store and another the members. While the
    node is not a reader, both tasks are paused and updates come from peers. Each answer
    of the store, and each peer's heartbeat or hello, also confirms until when a version
    was the newest one; a copy that nothing confirms becomes stale.

    Parameters
    ----------
    store : FeedStore
        The platform's store.
    source : ConfigurationSource
        Location of the configuration in the store, and its encoding.
    directory : Directory
        Holds the member records.
    on_configuration : callable
        Called with each newer configuration, to put it in force.
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
        self._held_config_value = b""
        """Configuration that was read first, in a later era than 0, and is not in force
        yet: the store may have lost a newer one that peers have."""
        self._config_confirmation = RecordConfirmation()
        self.answers = StoreAnswers(clock, journal)
        self._reading_enabled = asyncio.Event()
        self._reading_enabled.set()
        self._newest_revision = 0
        """Newest store version that an answer of the store, or a peer, has shown."""
        self.config_version = 0
        self.members_version = 0
        """Store version up to which all changes of members have been applied."""
        self.has_members = False
        """Whether all members that the store held at some moment are known."""
        self.has_informed_peer = False
        """Whether a peer that knows the members has connected since the start."""
        self._change_versions: dict[str, int] = {}
        """Store version at or before which each member's record last changed. For a
        record received from a peer, this is the version that the update reached."""
        self.member_row_versions: dict[str, int] = {}
        """Store versions of the member rows, by node id."""
        self._missing_members = MissingMembers()
        self._confirmations = Confirmations(clock)
        self.on_confirmed: Callable[[], None] = _ignore
        """Called after the store has confirmed that a copy is current."""
        self.on_members_applied: Callable[[], None] = _ignore
        """Called after member records were applied, from the store or from a peer."""

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is in force, without which nothing can be routed."""
        return self.config_version > 0

    async def follow_configuration(self) -> None:
        """Follow the configuration in the store until cancelled."""
        await self._follow(
            self._source.table,
            self._apply_configuration_scan,
            self._settings.wait_s,
            0.0,
        )

    async def follow_members(self) -> None:
        """Follow the members in the store until cancelled."""
        await self._follow(
            MEMBER_TABLE,
            self._apply_member_scan,
            self._settings.members_wait_s,
            self._settings.pace_s,
        )

    @property
    def is_fresh(self) -> bool:
        """Whether both copies were confirmed recently, whoever confirmed them."""
        return self.is_reader_fresh(self.make_reader_frame())

    def is_reader_fresh(self, reader: ReaderFrame) -> bool:
        """Return whether the copies of a reader count as fresh by now."""
        return self._confirmations.is_fresh(reader)

    def require_bounds(self, is_required: bool) -> None:
        """Keep the uncertainty of the store's clock small, for a configuration lease."""
        self._confirmations.needs_bounds = is_required

    def measure_configuration_age(self) -> ConfigurationAge:
        """Return how long ago the configuration in force was the newest."""
        return self._confirmations.measure_configuration_age()

    def set_reader(self, is_reader: bool) -> None:
        """Follow the store if the node is a reader; otherwise rely on its peers."""
        if is_reader:
            self._reading_enabled.set()
        else:
            self._reading_enabled.clear()

    def make_hello(self, link_version: int, node_id: str) -> Hello:
        """Return this node's ``Hello``, with the versions that it has."""
        return self._confirmations.make_hello(
            link_version, node_id, self.make_reader_frame()
        )

    def make_reader_frame(self) -> ReaderFrame:
        """Return the heartbeat of a reader, with the versions that it has."""
        return self._confirmations.make_reader_frame(
            self.config_version, self.members_version
        )

    def confirm(self, peer: ReaderFrame | Hello) -> None:
        """Take account of when a peer's versions were the newest."""
        self.has_informed_peer |= isinstance(peer, Hello) and peer.members_version > 0
        if not self._confirmations.confirm_by_peer(peer, self.config_version):
            self._journal.trace(
                "store_time_contradicted",
                config_confirmed_at=peer.config_confirmed_at,
                members_confirmed_at=peer.members_confirmed_at,
            )

    def is_behind(self, reader: ReaderFrame) -> bool:
        """Return whether a reader has newer versions than this node."""
        return (
            reader.config_version > self.config_version
            or reader.members_version > self.members_version
        )

    def claim_renewal(self, reader: ReaderFrame) -> bool:
        """Return whether to ask a reader now for its estimate of the store's clock."""
        return self._confirmations.claim_renewal(reader.uncertainty_s)

    def make_update(self, hello: Hello) -> UpdateFrame | None:
        """Return what the sender of ``hello`` lacks, or None if it is up to date."""
        config, members = b"", ()
        if hello.config_version < self.config_version:
            config = self._config_value
        since = hello.members_version
        if since < self.members_version:
            members = tuple(
                encode_member(member)
                for member in self._directory.members.values()
                if self._change_versions.get(member.node_id, since + 1) > since
            )
        departed = self._directory.list_departures(hello.node_id)
        if not (config or departed) and since >= self.members_version:
            return None
        return UpdateFrame(
            config, self.config_version, members, since, self.members_version, departed
        )

    def apply_update(self, update: UpdateFrame) -> None:
        """Apply an update from a peer; a reader forwards what is new to its zone.

        If the update begins at or before this node's version, the node then has all
        changes up to the update's last version.
        """
        if update.config and update.config_version > self.config_version:
            self.apply_configuration(update.config, FROM_PEER)
        for value in update.members:
            member = self._update_member(value)
            if member is not None and update.members_version:
                self._record_change_version(member.node_id, update.members_version)
        reaches_further = (
            update.members_since <= self.members_version < update.members_version
        )
        if reaches_further:
            since, self.members_version = self.members_version, update.members_version
            self.has_members = True
            self._newest_revision = max(self._newest_revision, self.members_version)
            if self._reading_enabled.is_set():
                self._forward(
                    UpdateFrame(b"", 0, update.members, since, update.members_version)
                )
        self._directory.record_own_departures(update.departed)
        if update.members or update.departed or reaches_further:
            self.on_members_applied()

    def _record_change_version(self, node_id: str, version: int) -> None:
        recorded = self._change_versions.get(node_id, 0)
        self._change_versions[node_id] = max(recorded, version)

    def apply_configuration(self, value: bytes, origin: str) -> bool:
        """Put a stored configuration in force, and return whether it was newer.

        Parameters
        ----------
        value : bytes
            The configuration as stored.
        origin : str
            ``FROM_STORE`` or ``FROM_PEER``, for the log.
        """
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
        self._confirmations.apply_configuration(self.config_version)
        self._journal.note(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.rules),
            origin=origin,
        )
        if configuration.unknown_kinds:
            self._journal.note(
                "unknown_route_kinds",
                version=configuration.version,
                found=list(configuration.unknown_kinds),
                handled_as="unsafe",
            )
        if self._reading_enabled.is_set():
            self._forward(UpdateFrame(value, configuration.version))
        return True

    def _forward(self, update: UpdateFrame) -> None:
        for link in self._directory.list_ready_zone_links():
            link.send_if_ready(update)

    async def _follow(
        self,
        table: str,
        apply: Callable[[Scan, bool], None],
        wait_s: float,
        pace_s: float,
    ) -> None:
        """Read a table and follow its changes, until cancelled.

        While a copy is stale, every other poll is answered at once, not held. One that is
        answered at once also gives a close bound on the store's clock.
        """
        backoff_s = FIRST_BACKOFF_S
        since: int | None = None
        was_held = True
        while True:
            if since is not None:
                await self._reading_enabled.wait()
            renews = self._confirmations.claim_renewal()
            is_held = not renews and (self.is_fresh or not was_held)
            sent_at = self._clock.monotonic()
            try:
                scan = await self._poll(table, since, wait_s if is_held else 0.0)
            except HistoryGoneError:
                self._journal.note("store_history_gone", table=table)
                since = None
            except StoreUnavailableError as error:
                self.answers.record_failure(table, error)
            else:
                self._observe_clock(scan, sent_at)
                apply(scan, since is None)
                self._note_success(table, scan)
                if since is not None:
                    backoff_s = FIRST_BACKOFF_S
                since, was_held = scan.revision, is_held
                if is_held:
                    await self._pause(pace_s)
                continue
            await self._pause(backoff_s)
            backoff_s = min(self._compute_max_backoff_s(), backoff_s * 2)
            was_held = True

    def _observe_clock(self, scan: Scan, sent_at: float) -> None:
        if not self._confirmations.observe_store(scan.read_at, sent_at):
            self._journal.note("store_clock_set", store_time=scan.read_at)

    async def _poll(self, table: str, since: int | None, wait_s: float) -> Scan:
        """Read a table, or its changes after ``since``.

        Raises
        ------
        HistoryGoneError
            If the changes are no longer available.
        StaleReadError
            If the answer is older than what was known before the request.
        StoreUnavailableError
            If no usable answer was received.
        """
        if since is None:
            known_revision = self._newest_revision
            scan = await self._store.read_table(table)
        else:
            known_revision = since
            scan = await self._store.follow_table(table, since, wait_s)
        if scan.revision < known_revision:
            raise StaleReadError(
                f"answer has version {scan.revision}, {known_revision} is known"
            )
        return scan

    async def _pause(self, mean_s: float) -> None:
        await asyncio.sleep(mean_s * (0.5 + self._random.random()))

    def _compute_max_backoff_s(self) -> float:
        is_strict = self._confirmations.needs_bounds
        backoff_s = STRICT_MAX_BACKOFF_S if is_strict else MAX_BACKOFF_S
        return max(backoff_s, len(self._directory.members) / FLEET_POLLS_PER_S)

    def _apply_configuration_scan(self, scan: Scan, is_full_scan: bool) -> None:
        for row in scan.rows:
            if row.key == self._source.key:
                self._held_config_value = row.value
        self.apply_held_configuration(get_era(scan.revision))
        self._confirmations.confirm_configuration(
            self.config_version, scan.read_at, self.config_version
        )

    def apply_held_configuration(self, store_era: int = 0) -> None:
        """Put a configuration that was read in force, once it counts as the newest one.

        Parameters
        ----------
        store_era : int, optional
            Era in which the store has answered, if it has answered now.
        """
        if not self._held_config_value:
            return
        origin = RecordOrigin(
            None,
            max(store_era, get_era(self._newest_revision)),
            len(self._directory.members) > 1,
            self.has_informed_peer,
        )
        now, was_waiting = self._clock.monotonic(), self._config_confirmation.is_waiting
        if not (
            self.has_configuration or self._config_confirmation.confirm(origin, now)
        ):
            if not was_waiting:
                self._journal.note(
                    "configuration_unconfirmed", store_era=origin.store_era
                )
            return
        value, self._held_config_value = self._held_config_value, b""
        self.apply_configuration(value, FROM_STORE)

    def _apply_member_scan(self, scan: Scan, is_full_scan: bool) -> None:
        valid_rows = [row for row in scan.rows if self._apply_member_row(row)]
        removed_keys = set(scan.removed)
        if is_full_scan:
            removed_keys |= self._missing_members.find_removed(
                self.member_row_versions, scan, self._clock.monotonic()
            )
        removed_keys |= self._missing_members.drop_overdue(
            scan, self._clock.monotonic()
        )
        for key in removed_keys:
            self.member_row_versions.pop(key, None)
            self._directory.remove(key)
        since = self.members_version
        self.members_version = max(since, scan.revision)
        self.has_members = True
        self._confirmations.confirm_members(scan.revision, scan.read_at)
        self.on_members_applied()
        if valid_rows and not is_full_scan:
            records = tuple(row.value for row in valid_rows)
            self._forward(UpdateFrame(b"", 0, records, since, scan.revision))

    def apply_conflict(self, conflict: Conflict) -> None:
        """Apply the member row that a conditional write found in place of its own."""
        self.member_row_versions[conflict.key] = conflict.version
        if not conflict.value:
            return
        self._apply_member_row(Row(conflict.key, conflict.value, conflict.version))
        self.on_members_applied()

    def _apply_member_row(self, row: Row) -> bool:
        """Apply the record of a row, and return whether it is valid."""
        self.member_row_versions[row.key] = row.version
        self._record_change_version(row.key, row.version)
        return self._update_member(row.value, row.key) is not None

    def _update_member(self, value: bytes, key: str = "") -> Member | None:
        """Apply a record if it is valid and, with a key, stored under its own."""
        try:
            member = decode_member(value, self._clock.wall())
        except BadMemberError as error:
            self._journal.note("bad_member", key=key, error=error.detail)
            return None
        if key and member.node_id != key:
            self._journal.note("member_under_other_key", key=key)
            return None
        if self._directory.update(member):
            self._journal.note(
                "member",
                member=member.node_id,
                service=member.service,
                instance=member.instance,
                state=member.state,
                sequence=member.sequence,
            )
        return member

    def _note_success(self, table: str, scan: Scan) -> None:
        self._newest_revision = max(self._newest_revision, scan.revision)
        self.answers.record_success(table)
        self.on_confirmed()


def _ignore() -> None:
    """Do nothing; the default callback."""
