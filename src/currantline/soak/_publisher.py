"""Writes of the operators and the targets to the store of a soak test."""

import asyncio
import random
from collections import deque

import attrs

from currantline.platform import CONFIGURATION_KEY, TARGET_PREFIX
from currantline.platform.samples import make_configuration, make_target_entry
from currantline.standin.store import StandinStore, StoreCopy

__all__ = ["SERVICES", "PublishedEntry", "Publisher"]

SERVICES = ("svc", "two")

# Interval between copies of the store, and the number that is kept; the oldest is 10 s
# old.
COPY_INTERVAL_S = 0.5
COPY_COUNT = 20

# Number of intervals by which a copy is at least 1 s old.
MIN_COPY_AGE = 2


@attrs.define(eq=False)
class PublishedEntry:
    """What a target writes to the store."""

    address: str
    service: str
    data_centre: str
    sequence: int = 0
    state: str = "ready"


class Publisher:
    """Writes to the store, and writes again what the store has lost.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    store : StandinStore
        The store.
    version : int
        Version of the configuration.
    entries : dict
        Entries of the targets by name.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._copies: deque[StoreCopy] = deque(maxlen=COPY_COUNT)
        self.store = StandinStore()
        self.version = 0
        self.entries: dict[str, PublishedEntry] = {}

    def change_configuration(self) -> str:
        """Route all requests to the other service, which is returned."""
        self.version += 1
        self._write(CONFIGURATION_KEY)
        return SERVICES[self.version % len(SERVICES)]

    def add_entry(self, name: str, entry: PublishedEntry) -> None:
        """Write the entry of a new target."""
        self.entries[name] = entry
        self._write(f"{TARGET_PREFIX}{name}")

    def drain(self, name: str) -> None:
        """Mark a target as draining."""
        self.entries[name].state = "draining"
        self._write(f"{TARGET_PREFIX}{name}")

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a target."""
        del self.entries[name]
        self._write(f"{TARGET_PREFIX}{name}")

    async def keep_copies(self) -> None:
        """Take copies of the store until cancelled."""
        while True:
            self._copies.append(self.store.take_copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore_copy(self) -> None:
        """Restore the store from a copy that is 1 to 10 s old, once there is one.

        What was written since is lost until `write_again`.
        """
        while len(self._copies) <= MIN_COPY_AGE:
            await asyncio.sleep(COPY_INTERVAL_S)
        age = self._rng.randrange(MIN_COPY_AGE, len(self._copies))
        self.store.restore(self._copies[-1 - age])
        self._copies.clear()

    async def write_again(self, duration_s: float) -> None:
        """Write all that should be in the store, in a random order over some time."""
        keys = {CONFIGURATION_KEY, *self.store.list_documents()}
        keys |= {f"{TARGET_PREFIX}{name}" for name in self.entries}
        shuffled = sorted(keys)
        self._rng.shuffle(shuffled)
        for key in shuffled:
            await asyncio.sleep(duration_s / len(shuffled))
            self._write(key)

    def _write(self, key: str) -> None:
        entry = self.entries.get(key.removeprefix(TARGET_PREFIX))
        if key == CONFIGURATION_KEY:
            service = SERVICES[self.version % len(SERVICES)]
            self.store.put(key, make_configuration(self.version, service))
        elif entry is None:
            self.store.remove(key)
        else:
            entry.sequence += 1
            document = make_target_entry(
                entry.address,
                service=entry.service,
                data_centre=entry.data_centre,
                state=entry.state,
                sequence=entry.sequence,
            )
            self.store.put(key, document)
