"""Tests of reading the published list."""

import asyncio
import json
import random
import socket
from typing import Any

import pytest

from currantline.clock import ManualClock
from currantline.exceptions import PlatformError
from currantline.membership import (
    ListedInstance,
    ListedTarget,
    ListHistory,
    ListReader,
    MembershipOptions,
    PublishedList,
    parse_list,
)
from currantline.standin.platform import Platform

OPTIONS = MembershipOptions()
INSTANCE = {
    "kind": "instance",
    "state": "leaving",
    "name": "a",
    "data_centre": "north",
    "caller_address": "127.0.0.1:7000",
    "peer_address": "127.0.0.1:7100",
}
TARGET = {"kind": "target", "state": "live", "name": "t"}


def find_free_address() -> str:
    """Return a free address on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_list(names: str) -> PublishedList:
    """Return a list of instances with placeholder addresses."""
    address = "127.0.0.1:7000"
    return PublishedList(
        instances=tuple(
            ListedInstance(
                name=name,
                data_centre="north",
                caller_address=address,
                peer_address=address,
            )
            for name in names
        )
    )


class TestParseList:
    """Parsing the response of the platform."""

    def test_entries(self) -> None:
        """Guards against a leaving instance that is read as live."""
        later = {**TARGET, "name": "u", "region": "new field"}
        body = json.dumps({"entries": [INSTANCE, TARGET, later, {"kind": "other"}]})
        published = parse_list(body.encode())
        assert [(e.name, e.is_leaving) for e in published.instances] == [("a", True)]
        assert published.targets == (ListedTarget(name="t"), ListedTarget(name="u"))

    @pytest.mark.parametrize(
        "value",
        [
            [],
            {},
            {"entries": 3},
            {"entries": [3]},
            {"entries": [{**TARGET, "state": "gone"}]},
            {"entries": [TARGET, {**INSTANCE, "name": ""}]},
            {"entries": [TARGET, {**INSTANCE, "peer_address": "host:1"}]},
        ],
    )
    def test_malformed(self, value: Any) -> None:
        """Guards against an invalid list that is read as if entries were removed."""
        with pytest.raises(PlatformError):
            parse_list(json.dumps(value).encode())


class TestListReader:
    """Periodic reads of the list."""

    def test_backoff(self) -> None:
        """Guards against reads without backoff while the platform is down."""

        async def run() -> None:
            platform, address = Platform(), find_free_address()
            platform.entries = [INSTANCE]
            received: list[PublishedList] = []
            reader = ListReader(
                address,
                clock=ManualClock(),
                rng=random.Random(3),
                publish=lambda published, now: received.append(published),
            )
            await platform.service.start(address)
            try:
                assert await reader.read()
                assert 750 <= reader.choose_delay() <= 1250
                platform.is_down = True
                for _ in range(20):
                    assert not await reader.read()
                assert 7500 <= reader.choose_delay() <= 12_500
                platform.is_down = False
                assert await reader.read()
                assert reader.choose_delay() <= 1250
            finally:
                await platform.service.stop()
            assert len(received) == 2

        asyncio.run(run())


class TestListHistory:
    """Members and voters of the majority."""

    def test_new_names_have_no_vote(self) -> None:
        """Guards against a majority of new names disjoint from one of an older list."""
        older, newer = ListHistory(OPTIONS), ListHistory(OPTIONS)
        for at in (0, 30_000, 59_000, 61_000):
            older.update(make_list("abcde"), at)
            newer.update(make_list("abcde" if at < 61_000 else "abcdefg"), at)
        now = 61_000
        assert older.list_voters(now) == frozenset("abcde")
        assert newer.list_known(now) == frozenset("abcdefg")
        # d, e, f and g are a majority of seven; a, b and c are one of five.
        assert newer.list_voters(now) & frozenset("defg") == frozenset("de")

    def test_removed_names_count(self) -> None:
        """Guards against a majority of a list that has just become shorter."""
        history = ListHistory(OPTIONS)
        history.update(make_list("abcde"), 0)
        history.update(make_list("ab"), 1000)
        assert history.list_known(60_999) == frozenset("abcde")
        assert history.list_known(61_000) == frozenset("ab")

    def test_old_copy_has_no_vote(self) -> None:
        """Guards against a majority of a copy of the list of unlimited age."""
        history = ListHistory(OPTIONS)
        history.update(make_list("abc"), 0)
        history.update(make_list("abc"), 60_000)
        assert history.list_voters(119_999) == frozenset("abc")
        assert history.list_voters(120_000) == frozenset()
