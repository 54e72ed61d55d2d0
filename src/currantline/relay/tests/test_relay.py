"""Tests of requests from arrival to answer."""

import asyncio

import pytest

from currantline.relay.tests.support import Bench, make_route, run
from currantline.wire import Response, find_header

SIGNED = b"x-id: a\r\nx-signature: s\r\n"
ORDER = make_route(is_idempotent=False)


def make_answer(
    head: bytes, body: bytes = b"body", *, length: int | None = None
) -> bytes:
    """Return a response as bytes."""
    size = len(body) if length is None else length
    framing = b"content-length: %d\r\n" % size
    return b"HTTP/1.1 200 OK\r\n" + head + framing + b"\r\n" + body


class TestPlacement:
    """Where requests go."""

    def test_quiet_host(self) -> None:
        """Guards against work on slow hosts while a quiet one is idle."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(slowness=400)
            quiet = await bench.add_worker()
            for number in range(10):
                assert (await bench.send(str(number))).status == 200
            assert len(quiet.started_ids) == 10

        run(play)

    def test_draining(self) -> None:
        """Guards against work for a target that leaves."""

        async def play(bench: Bench) -> None:
            leaving = await bench.add_worker()
            await bench.add_worker()
            bench.publish("t1", "10.0.1.1:80", slots=2, is_draining=True)
            for number in range(5):
                assert (await bench.send(str(number))).status == 200
            assert leaving.started_ids == []

        run(play)

    def test_address_of_another_target(self) -> None:
        """Guards against requests that run at a target of another service."""

        async def play(bench: Bench) -> None:
            other = await bench.add_worker()
            bench.targets.withdraw("t1")
            bench.publish("gone", "10.0.1.1:80", slots=2)
            answer = await bench.send()
            assert answer.status == 503
            assert other.started_ids == []

        run(play)

    def test_no_table(self) -> None:
        """Guards against 404 from an instance that knows no configuration."""

        async def play(bench: Bench) -> None:
            bench.table = None
            assert (await bench.send()).status == 503

        run(play)

    def test_no_targets(self) -> None:
        """Guards against requests that wait for targets that do not exist."""

        async def play(bench: Bench) -> None:
            started = bench.clock.read()
            answer = await bench.send()
            assert answer.status == 503
            assert find_header(answer.headers, "retry-after") is not None
            assert bench.clock.read() - started < 50.0

        run(play)


class TestPeak:
    """Load above what the targets can do."""

    def test_requests_in_time_go_first(self) -> None:
        """Guards against a peak at which every request is late.

        Forty requests arrive within 0.8 s at a target that does 14 in that time.
        """

        async def play(bench: Bench) -> None:
            await bench.add_worker(work_ms=100.0)
            taken: list[float] = []

            async def call(number: int) -> None:
                arrived = bench.clock.read()
                answer = await bench.send(str(number))
                if answer.status == 200:
                    taken.append(bench.clock.read() - arrived)

            tasks = []
            for number in range(40):
                tasks.append(asyncio.create_task(call(number)))
                await asyncio.sleep(0.02)
            await asyncio.gather(*tasks)
            assert sum(1 for took in taken if took <= 400.0) >= 14

        run(play)

    def test_targets_are_not_flooded(self) -> None:
        """Guards against waiting requests that all ask full targets."""

        async def play(bench: Bench) -> None:
            worker = await bench.add_worker(work_ms=2_000.0)
            calls = [bench.send(str(number)) for number in range(30)]
            await asyncio.wait_for(asyncio.gather(*calls), 5.0)
            assert worker.health_checks < 150

        run(play)

    def test_freed_slot_is_used_at_once(self) -> None:
        """Guards against slots that idle until the next look."""

        async def play(bench: Bench) -> None:
            worker = await bench.add_worker(work_ms=45.0, slots=1)
            calls = [bench.send(str(number)) for number in range(4)]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * 4
            assert bench.clock.read() < 4 * 45.0 + 25.0
            assert len(worker.started_ids) == 4

        run(play)

    def test_replay_refusals(self) -> None:
        """Guards against callers that are held at a peak, or sent back into it.

        Forty requests arrive within 0.2 s at a target that does 7 in that time.
        """

        async def play(bench: Bench) -> None:
            await bench.add_worker(work_ms=100.0)
            held: list[float] = []
            returns: list[float] = []

            async def call(number: int) -> None:
                arrived = bench.clock.read()
                answer = await bench.send(str(number))
                if answer.status == 503:
                    held.append(bench.clock.read() - arrived)
                    after = find_header(answer.headers, "retry-after")
                    returns.append(1000.0 * float(after or 0.0))

            tasks = []
            for number in range(40):
                tasks.append(asyncio.create_task(call(number)))
                await asyncio.sleep(0.005)
            await asyncio.gather(*tasks)
            assert len(held) > 10
            # A quarter of the route's 2 s and one pause between two looks.
            assert max(held) <= 600.0
            assert min(returns) >= 300.0
            assert max(returns) <= 2_500.0 / 3
            assert max(returns) - min(returns) > 200.0

        run(play)


class TestOutcome:
    """What callers are told."""

    def test_order_is_sent_once(self) -> None:
        """Guards against an order that runs twice after its answer was lost."""

        async def play(bench: Bench) -> None:
            first = await bench.add_script(b"")
            second = await bench.add_script(b"")
            assert (await bench.send()).status == 502
            assert first.requests + second.requests == 1

        run(play, ORDER)

    def test_rejected_order_goes_elsewhere(self) -> None:
        """Guards against orders lost at a target that rejects everything."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(is_rejecting=True)
            await bench.add_worker()
            answers = [await bench.send(str(number)) for number in range(6)]
            assert [answer.status for answer in answers] == [200] * 6
            assert sorted(bench.list_ran()) == [str(number) for number in range(6)]

        run(play, ORDER)

    def test_rejected_everywhere(self) -> None:
        """Guards against a false or missing answer that a request has not run."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(is_rejecting=True)
            await bench.add_worker(is_rejecting=True)
            assert (await bench.send()).status == 503
            assert bench.list_ran() == []

        run(play, ORDER)

    def test_idempotent_is_repeated(self) -> None:
        """Guards against lookups lost to one failing target."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(is_failing=True)
            await bench.add_worker()
            answers = [await bench.send(str(number)) for number in range(6)]
            assert [answer.status for answer in answers] == [200] * 6

        run(play)

    def test_failure_is_passed_on(self) -> None:
        """Guards against a target's failure that is replaced by another answer."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(is_failing=True)
            answer = await bench.send()
            assert answer.status == 500
            assert find_header(answer.headers, "x-signature") == "t1.a"

        run(play)

    def test_silent_target(self) -> None:
        """Guards against lookups that wait for a target that lost its answer."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(is_losing=True)
            await bench.add_worker(slowness=200)
            answer = await bench.send()
            assert answer.status == 200
            assert bench.clock.read() < 400.0

        run(play)

    def test_timeout(self) -> None:
        """Guards against requests held past the timeout of their route."""

        async def play(bench: Bench) -> None:
            worker = await bench.add_worker(is_losing=True)
            assert (await bench.send()).status == 504
            assert 2_000.0 <= bench.clock.read() < 2_100.0
            assert worker.time_left_ms[0] <= 2_000.0

        run(play, ORDER)


class TestForeignAnswers:
    """Bytes that are not the answer."""

    @pytest.mark.parametrize(
        "answer",
        [
            make_answer(SIGNED, length=40),
            make_answer(b"x-id: a\r\n"),
            make_answer(b"x-signature: s\r\n"),
            make_answer(SIGNED + b"content-encoding: gzip\r\n"),
            b"\x00\x01garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n",
        ],
    )
    def test_not_an_answer(self, answer: bytes) -> None:
        """Guards against spoiled answers that a caller takes for whole."""

        async def play(bench: Bench) -> None:
            await bench.add_script(answer)
            assert (await bench.send(left_ms=500.0)).status in (502, 504)

        run(play)

    def test_late_answer_in_front(self) -> None:
        """Guards against another request's answer, and a lost one of its own."""

        async def play(bench: Bench) -> None:
            late = make_answer(b"x-id: other\r\nx-signature: s\r\n", b"foreign")
            await bench.add_script(late + make_answer(SIGNED, b"own"))
            answer = await bench.send()
            assert (answer.status, answer.body) == (200, b"own")

        run(play, ORDER)

    def test_excess_answer(self) -> None:
        """Guards against a second answer that the next request receives."""

        async def play(bench: Bench) -> None:
            twice = make_answer(SIGNED, b"own") + make_answer(SIGNED, b"excess")
            script = await bench.add_script(twice, make_answer(SIGNED, b"next"))
            bodies = [(await bench.send()).body for _ in range(2)]
            assert bodies == [b"own", b"next"]
            assert script.requests == 2

        run(play, ORDER)

    def test_unframed(self) -> None:
        """Guards against answers that end with their connection and are refused."""

        async def play(bench: Bench) -> None:
            head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n" + SIGNED + b"\r\n"
            script = await bench.add_script(head + b"whole")
            task = asyncio.create_task(bench.send())
            while not script.requests:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            bench.network.kill("10.0.1.1")
            answer: Response = await task
            assert (answer.status, answer.body) == (200, b"whole")

        run(play)
