"""Tests of the client of the store."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from currantline.exceptions import (
    HistoryLostError,
    PlatformError,
    StoreReturnedError,
)
from currantline.platform import StoreClient, find_era, find_era_start, find_number
from currantline.platform._revisions import compose_revision
from currantline.standin.network import Network, run_session
from currantline.standin.store import PAGE_SIZE, StandinStore
from currantline.wire import (
    MAX_FETCHED_BYTES,
    HttpClient,
    HttpServer,
    Request,
    Response,
    json_response,
)

ADDRESS = "10.200.1.7:8642"

Scenario = Callable[[StoreClient, StandinStore], Awaitable[None]]


def run(scenario: Scenario) -> None:
    """Run a scenario with a store of more than one page, in virtual time."""

    async def session() -> None:
        store = StandinStore()
        for number in range(PAGE_SIZE + 1):
            store.put(f"k{number}", number)
        await HttpServer(store.handle).start(ADDRESS)
        await scenario(StoreClient(HttpClient(ADDRESS)), store)

    run_session(Network(), session())


def fetch_from(*responses: Response) -> StoreClient:
    """Return a client that gets the given responses."""
    remaining = list(responses)

    class Answers(HttpClient):
        async def fetch(self, request: Request, *, timeout_ms: float) -> Response:
            return remaining.pop(0)

    return StoreClient(Answers(ADDRESS))


def answer(era: str | None, *, status: int = 200, number: int = 7) -> Response:
    """Return an answer of the store without items."""
    headers = () if era is None else (("store-era", era),)
    body = json_response({"currentRev": number}).body
    return Response(status=status, headers=headers, body=body)


class TestLargeAnswers:
    """Answers above the limit for one of them."""

    def test_watch(self) -> None:
        """Guards against changes that are never read since they do not fit at once."""
        value = bytes(MAX_FETCHED_BYTES // 10)

        async def scenario(client: StoreClient, store: StandinStore) -> None:
            after = (await client.read_all()).revision
            for number in range(10):
                store.put(f"large{number}", value)
            with pytest.raises(HistoryLostError):
                await client.watch(after, wait_ms=0)
            assert len((await client.read_all()).records) == PAGE_SIZE + 11

        run(scenario)


class TestRevisions:
    """One order of all states of the store."""

    def test_order(self) -> None:
        """Guards against a state after a return that counts as an older one."""
        revisions = [
            compose_revision(e, n) for e, n in ((0, 9), (1, 0), (1, 3), (2, 1))
        ]
        assert revisions == sorted(revisions)
        assert [find_era(r) for r in revisions] == [0, 1, 1, 2]
        assert [find_number(r) for r in revisions] == [9, 0, 3, 1]
        assert find_era_start(revisions[2]) == revisions[1]

    @pytest.mark.parametrize("number", [-1, 1 << 64, True, None, "7", 7.0])
    def test_invalid_number(self, number: object) -> None:
        """Guards against a number that changes the era of its revision."""
        with pytest.raises(PlatformError):
            compose_revision(1, number)


class TestEras:
    """Answers of a store that returns."""

    def test_watch_of_a_returned_store(self) -> None:
        """Guards against changes that are taken to continue those of another era.

        The store gives the revision out again, so it has what the watch asks for.
        """

        async def scenario(client: StoreClient, store: StandinStore) -> None:
            copy = store.take_copy()
            store.put("lost", 1)
            after = (await client.read_all()).revision
            store.restore(copy)
            store.put("other", 1)
            store.put("more", 1)
            with pytest.raises(StoreReturnedError) as caught:
                await client.watch(after, wait_ms=100)
            assert caught.value.revision == compose_revision(1, 0)
            batch = await client.read_all()
            assert batch.revision == compose_revision(1, copy.revision + 2)
            assert {find_era(record.revision) for record in batch.records} == {1}
            store.put("last", 1)
            changes = await client.watch(batch.revision, wait_ms=100)
            assert [record.key for record in changes.records] == ["last"]

        run(scenario)

    def test_lost_history(self) -> None:
        """Guards against a lost history that is taken for a return."""

        async def scenario(client: StoreClient, store: StandinStore) -> None:
            store.era = 2
            after = (await client.read_all()).revision
            store.put("more", 1)
            store.drop_history()
            with pytest.raises(HistoryLostError):
                await client.watch(after, wait_ms=100)

        run(scenario)

    def test_error_with_the_next_era(self) -> None:
        """Guards against a return that is missed since the store answers 503."""
        client = fetch_from(answer("4", status=503))
        with pytest.raises(StoreReturnedError):
            asyncio.run(client.watch(compose_revision(3, 7), wait_ms=100))
        # It is not asked again for what has ended.
        with pytest.raises(StoreReturnedError):
            asyncio.run(client.watch(compose_revision(3, 7), wait_ms=100))
        assert client.calls == 1

    def test_pages_of_two_eras(self) -> None:
        """Guards against a full read that mixes the pages of two eras."""
        page = {"items": [{"key": "k", "revision": 3, "value": ""}], "truncated": True}
        first = json_response({**page, "currentRev": 7})
        for next_era in ("6", "4"):
            client = fetch_from(
                Response(status=200, headers=(("store-era", "5"),), body=first.body),
                answer(next_era),
            )
            with pytest.raises(PlatformError):
                asyncio.run(client.read_all())

    @pytest.mark.parametrize("era", ["1", None])
    def test_older_era(self, era: str | None) -> None:
        """Guards against a part of the store that is behind and reverts the state."""
        client = fetch_from(answer("2"), answer(era), answer("2", number=8))
        asyncio.run(client.read_all())
        with pytest.raises(PlatformError):
            asyncio.run(client.read_all())
        assert asyncio.run(client.read_all()).revision == compose_revision(2, 8)

    def test_era_learned_elsewhere(self) -> None:
        """Guards against an answer before the era of what was asked for."""
        client = fetch_from(answer("2"), answer("2"))
        with pytest.raises(PlatformError) as caught:
            asyncio.run(client.watch(compose_revision(3, 7), wait_ms=100))
        assert not isinstance(caught.value, StoreReturnedError)

    @pytest.mark.parametrize("era", ["", "-1", "1.0", "x", "9" * 400, "\u0661"])
    def test_malformed_era(self, era: str) -> None:
        """Guards against an odd era that ends the reader or orders all others."""
        client = fetch_from(answer(era), answer("1"))
        with pytest.raises(PlatformError):
            asyncio.run(client.read_all())
        assert find_era(asyncio.run(client.read_all()).revision) == 1

    def test_no_era(self) -> None:
        """Guards against other revisions from a store that does not state its era."""
        client = fetch_from(answer(None), answer(None, status=503), answer(None))
        assert asyncio.run(client.read_all()).revision == 7
        with pytest.raises(PlatformError):
            asyncio.run(client.watch(7, wait_ms=100))
        assert asyncio.run(client.watch(7, wait_ms=100)).revision == 7
