"""Follow the store's topics that operators and workers write to."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

from jacinthloom_core.planner.rules import Rules

from ..platform import topics
from ..platform.errors import InvalidDataError, PlatformError, TruncatedError
from ..platform.log_store import decode_keyed
from ..platform.schemas import decode_rules, decode_worker
from . import log

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.fleet import WorkerEntry

    from ..platform.log_store import LogStore

LONG_POLL_S = 1.2
"""Seconds that a read waits for a change (long poll): short enough to detect a dead
connection within the time in which a new configuration must take effect."""

RETRY_INTERVAL_S = 0.15
"""Seconds until a failed read is retried."""


class KeyedFeed(ABC):
    """Follow one keyed topic: load the newest value of each key, then read changes."""

    topic: str
    """Name of the topic."""

    read_interval_s: float = 0.0
    """Pause between two reads, in seconds, to batch changes."""

    def __init__(self, store: LogStore, ignored: Counter[str]) -> None:
        """Create a feed.

        :param ignored: counts, by topic, the records that could not be used
        """
        self._store = store
        self._ignored = ignored
        self._is_reachable = True

    async def follow(self) -> None:
        """Read until cancelled; reload the newest values if records were deleted."""
        while True:
            try:
                await self._follow_once()
            except TruncatedError as error:
                log.write("feed_truncated", topic=self.topic, first=error.first)
            except PlatformError as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception as error:
                log.write_failure("feed_failed", error, topic=self.topic)
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _follow_once(self) -> None:
        newest = await self._store.read_newest(self.topic)
        self._set_reachable(True)
        self.on_newest(newest.value_by_key)
        position = newest.end_offset
        while True:
            try:
                read = await self._store.read(self.topic, position, LONG_POLL_S)
            except TruncatedError:
                raise
            except PlatformError as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._set_reachable(True)
            for data in read.records:
                self._on_record(data)
            position = read.next_offset
            if self.read_interval_s:
                await asyncio.sleep(self.read_interval_s)

    def _set_reachable(self, is_reachable: bool, reason: str = "") -> None:
        if is_reachable != self._is_reachable:
            kind = "dependency_regained" if is_reachable else "dependency_lost"
            log.write(kind, dependency="store", topic=self.topic, reason=reason)
        self._is_reachable = is_reachable

    def _on_record(self, data: bytes) -> None:
        try:
            key, value = decode_keyed(data)
        except InvalidDataError as error:
            self._ignored[self.topic] += 1
            log.write("record_ignored", topic=self.topic, reason=str(error))
            return
        self.apply_change(key, value)

    def apply_change(self, key: str, value: bytes) -> None:
        """Apply a change; a record that raises is ignored, so that others follow."""
        try:
            self.on_change(key, value)
        except Exception as error:
            self._ignored[self.topic] += 1
            log.write_failure("record_failed", error, topic=self.topic, key=key)

    @abstractmethod
    def on_newest(self, value_by_key: dict[str, bytes]) -> None:
        """Replace all state by the newest value of each key; other keys are deleted."""

    @abstractmethod
    def on_change(self, key: str, value: bytes) -> None:
        """Apply a change; an empty value means that the key is deleted."""


class OperatorFeed(KeyedFeed):
    """The configuration, and the availability zones that are out of service."""

    topic = topics.OPERATORS

    def __init__(
        self,
        store: LogStore,
        ignored: Counter[str],
        on_rules: Callable[[Rules], None],
        on_zones: Callable[[frozenset[str]], None],
    ) -> None:
        super().__init__(store, ignored)
        self._on_rules = on_rules
        self._on_zones = on_zones
        self.rules = Rules()
        self.zones_out: frozenset[str] = frozenset()
        self.has_rules = asyncio.Event()

    def on_newest(self, value_by_key: dict[str, bytes]) -> None:
        """Replace the configuration and the zones."""
        zones = {
            key.removeprefix(topics.ZONE_OUT_PREFIX)
            for key in value_by_key
            if key.startswith(topics.ZONE_OUT_PREFIX)
        }
        self._apply_zones(frozenset(zones))
        if topics.CONFIGURATION_KEY in value_by_key:
            key = topics.CONFIGURATION_KEY
            self.apply_change(key, value_by_key[key])

    def on_change(self, key: str, value: bytes) -> None:
        """Apply one change."""
        if key == topics.CONFIGURATION_KEY and value:
            self._apply_rules(value)
        elif key.startswith(topics.ZONE_OUT_PREFIX):
            zone = key.removeprefix(topics.ZONE_OUT_PREFIX)
            self._apply_zones(
                self.zones_out | {zone} if value else self.zones_out - {zone}
            )

    def _apply_rules(self, value: bytes) -> None:
        try:
            rules = decode_rules(value)
        except InvalidDataError as error:
            self._ignored[self.topic] += 1
            log.write("configuration_ignored", reason=str(error))
            return
        if rules.version <= self.rules.version:
            return
        log.write("configuration", version=rules.version, before=self.rules.version)
        self.rules = rules
        self.has_rules.set()
        self._on_rules(rules)

    def _apply_zones(self, zones: frozenset[str]) -> None:
        if zones != self.zones_out:
            self.zones_out = zones
            self._on_zones(zones)


class WorkerFeed(KeyedFeed):
    """Entries of workers."""

    topic = topics.WORKERS
    read_interval_s = 0.2

    def __init__(
        self,
        store: LogStore,
        ignored: Counter[str],
        on_listed: Callable[[WorkerEntry], None],
        on_unlisted: Callable[[str], None],
    ) -> None:
        super().__init__(store, ignored)
        self._on_listed = on_listed
        self._on_unlisted = on_unlisted
        self._entry_by_id: dict[str, WorkerEntry] = {}
        self._ignored_workers: set[str] = set()

    def on_newest(self, value_by_key: dict[str, bytes]) -> None:
        """Replace all entries."""
        for worker in list(self._entry_by_id):
            if worker not in value_by_key:
                self._remove(worker)
        for worker, value in value_by_key.items():
            self.apply_change(worker, value)

    def on_change(self, key: str, value: bytes) -> None:
        """Apply one change of an entry."""
        if not value:
            self._remove(key)
            self._ignored_workers.discard(key)
            return
        try:
            entry = decode_worker(key, value)
        except InvalidDataError as error:
            if key not in self._ignored_workers:
                self._ignored_workers.add(key)
                self._ignored[self.topic] += 1
                log.write("worker_entry_ignored", worker=key, reason=str(error))
            self._remove(key)
            return
        if self._entry_by_id.get(key) != entry:
            self._entry_by_id[key] = entry
            self._on_listed(entry)

    def _remove(self, worker: str) -> None:
        if self._entry_by_id.pop(worker, None) is not None:
            self._on_unlisted(worker)
