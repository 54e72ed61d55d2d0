"""Tests of carrying requests to targets over loopback sockets."""

import asyncio
import contextlib

import pytest

from currantline.forwarding import AttemptResult, Outcome
from currantline.forwarding.tests.support import (
    DEADLINE,
    Bench,
    Budget,
    RawTarget,
    ScriptedPlacement,
    run,
)
from currantline.load import TargetState


async def start(*names: str, tokens: int = 0) -> tuple[Bench, list[RawTarget]]:
    """Return a bench that places on the named targets in order."""
    known = {name: await RawTarget(name).start() for name in dict.fromkeys(names)}
    placement = ScriptedPlacement(*(known[name] for name in names))
    return Bench(placement, Budget(tokens)), list(known.values())


class TestWholeAnswers:
    """Guarantee 2: the whole answer to the caller's own request."""

    def test_second_answer_waits_in_socket(self) -> None:
        """Guards against taking an unsolicited answer for the next request's."""

        async def test() -> None:
            bench, (target,) = await start("a", "a")
            first = bench.forward(idempotent=True)
            old = await target.accept()
            await old.read_head()
            old.answer("first")
            assert (await first).answer.body == b"first"
            # The event loop does not run between this write and the reuse.
            old.answer("stale")
            second = bench.forward(idempotent=True)
            new = await target.accept()
            await new.read_head()
            new.answer("second")
            assert (await second).answer.body == b"second"

        run(test())

    @pytest.mark.parametrize(
        ("text", "body"),
        [
            ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", None),
            ("HTTP/1.1 200 OK\r\n\r\nend marked by close", None),
            (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
                None,
            ),
            ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwholelong", b"whol"),
            (
                "HTTP/1.1 103 Early Hints\r\n\r\n"
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                b"ok",
            ),
            ("HTTP/1.1 204 No Content\r\n\r\n", b""),
            ("SMTP ready\r\n\r\n", None),
        ],
    )
    def test_raw_answer(self, text: str, body: bytes | None) -> None:
        """Guards against partial, unmarked or excess bytes taken for an answer."""

        async def test() -> None:
            bench, (target,) = await start("a", "a")
            first = bench.forward(idempotent=False)
            connection = await target.accept()
            await connection.read_head()
            connection.send(text)
            if body is None:
                connection.writer.close()
            completion = await first
            expected = Outcome.UNKNOWN if body is None else Outcome.ANSWERED
            assert completion.outcome is expected
            assert (completion.answer.body if completion.answer else None) == body

        run(test())

    def test_excess_bytes_end_connection(self) -> None:
        """Guards against reusing a connection whose answer was longer than said."""

        async def test() -> None:
            bench, (target,) = await start("a", "a")
            first = bench.forward(idempotent=True)
            connection = await target.accept()
            await connection.read_head()
            connection.answer("ok")
            connection.answer("excess")
            await first
            second = bench.forward(idempotent=True)
            new = await target.accept()
            new.answer("own")
            assert (await second).answer.body == b"own"

        run(test())

    def test_abandoned_exchange_ends_connection(self) -> None:
        """Guards against giving a late answer to the request after a cancelled one."""

        async def test() -> None:
            bench, (target,) = await start("a", "a")
            first = bench.forward(idempotent=True)
            old = await target.accept()
            await old.read_head()
            first.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await first
            assert await old.read_to_end() == b""
            assert bench.placement.results == [AttemptResult.CANCELLED]
            second = bench.forward(idempotent=True)
            new = await target.accept()
            await new.read_head()
            new.answer("second")
            assert (await second).answer.body == b"second"

        run(test())


class TestNotRun:
    """Guarantee 3: a request told *not run* was not run."""

    def test_pause_before_write(self) -> None:
        """Guards against a paused process that sends after the deadline."""

        async def test() -> None:
            bench, (target,) = await start("a")
            bench.placement.before = lambda: bench.clock.advance(DEADLINE)
            completion = await bench.forward(idempotent=False)
            assert (completion.outcome, completion.reason) == (
                Outcome.NOT_RUN,
                "deadline",
            )
            assert bench.placement.results == [AttemptResult.UNUSED]
            assert await (await target.accept()).read_to_end() == b""

        run(test())

    def test_pause_after_permit(self) -> None:
        """Guards against new work on a target that drained during a pause."""

        async def test() -> None:
            bench, (old, fresh) = await start("a", "b")
            bench.placement.granted = [bench.clock.read() - 600.0]
            task = bench.forward(idempotent=False)
            peer = await fresh.accept()
            await peer.read_head()
            peer.answer("fresh")
            assert (await task).answer.body == b"fresh"
            assert bench.placement.results[0] is AttemptResult.EXPIRED
            assert [name for name, _ in bench.seen] == ["b"]
            assert old.name == "a"

        run(test())

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_cut_after_write(self, idempotent: bool) -> None:
        """Guards against *not run* for a request whose bytes were written."""

        async def test() -> None:
            bench, (target,) = await start("a")
            task = bench.forward(idempotent=idempotent)
            connection = await target.accept()
            await connection.read_head()
            connection.writer.close()
            completion = await task
            assert completion.outcome is Outcome.UNKNOWN
            assert completion.target == "a"

        run(test())

    def test_refused_connection_is_placed_again(self) -> None:
        """Guards against losing an order of which no byte was written."""

        async def test() -> None:
            bench, (dead, live) = await start("dead", "live")
            dead.stop()
            task = bench.forward(idempotent=False)
            connection = await live.accept()
            await connection.read_head()
            connection.answer("ok")
            assert (await task).outcome is Outcome.ANSWERED
            assert bench.placement.avoided[1] == {"dead"}
            assert bench.placement.results[0] is AttemptResult.UNREACHABLE

        run(test())

    def test_all_refused(self) -> None:
        """Guards against *unknown* when no target could be reached."""

        async def test() -> None:
            bench, (dead,) = await start("dead", "dead")
            dead.stop()
            completion = await bench.forward(idempotent=False)
            assert completion.outcome is Outcome.NOT_RUN

        run(test())


class TestAtMostOnce:
    """Guarantee 4: a non-idempotent request reaches a target at most once."""

    @pytest.mark.parametrize("is_cut", [True, False])
    def test_order_is_not_repeated(self, is_cut: bool) -> None:
        """Guards against a second send of an order on a cut or silent connection."""

        async def test() -> None:
            bench, (first, second) = await start("a", "b", tokens=9)
            task = bench.forward(idempotent=False)
            connection = await first.accept()
            await connection.read_head()
            if is_cut:
                connection.writer.close()
            else:
                bench.schedule.fire(DEADLINE)
            completion = await task
            assert completion.outcome is Outcome.UNKNOWN
            assert completion.reason == ("broken" if is_cut else "timeout")
            assert completion.attempts == 1
            assert second.opened == []

        run(test())

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_shed_is_passed_on(self, idempotent: bool) -> None:
        """Guards against another send of a shed order, or a shed answer lost.

        The idempotent request has no second target.
        """

        async def test() -> None:
            names = ("a",) if idempotent else ("a", "b")
            bench, targets = await start(*names, tokens=9)
            task = bench.forward(idempotent=idempotent)
            connection = await targets[0].accept()
            await connection.read_head()
            connection.answer("", "target-shed: 1\r\n", "503 Busy")
            completion = await task
            assert completion.outcome is Outcome.ANSWERED
            assert completion.answer.status == 503
            assert [target.opened for target in targets[1:]] == [[]] * (len(names) - 1)

        run(test())


class TestRetries:
    """Repeated attempts of idempotent requests."""

    @pytest.mark.parametrize("fault", ["shed", "cut", "silent"])
    @pytest.mark.parametrize("tokens", [0, 1])
    def test_fault(self, fault: str, tokens: int) -> None:
        """Guards against retries beyond the budget, or none within it."""

        async def test() -> None:
            bench, (first, second) = await start("a", "b", tokens=tokens)
            task = bench.forward(idempotent=True)
            connection = await first.accept()
            await connection.read_head()
            if fault == "shed":
                connection.answer("", "target-shed: 1\r\n", "503 Busy")
            elif fault == "cut":
                connection.writer.close()
            else:
                bench.schedule.fire(DEADLINE / 2)
                bench.schedule.fire(DEADLINE)
            if tokens:
                other = await second.accept()
                await other.read_head()
                other.answer("again")
                assert (await task).answer.body == b"again"
                assert bench.placement.avoided[1] == {"a"}
                return
            completion = await task
            is_shed = fault == "shed"
            expected = Outcome.ANSWERED if is_shed else Outcome.UNKNOWN
            assert completion.outcome is expected
            assert second.opened == []

        run(test())

    def test_observations(self) -> None:
        """Guards against attempts that the load slice does not learn of."""

        async def test() -> None:
            bench, (target,) = await start("a", "a")
            for text in ("in-flight=1, slots=2, state=draining", "in-flight=many"):
                task = bench.forward(idempotent=True)
                connection = target.opened[0] if target.opened else None
                connection = connection or await target.accept()
                await connection.read_head()
                connection.answer("", f"target-load: {text}\r\n")
                await task
            (_, first), (_, second) = bench.seen
            assert first.load is not None
            assert first.load.state is TargetState.DRAINING
            assert (first.sent, second.load) == (0.0, None)
            assert bench.forwarder.malformed_loads == 1

        run(test())


class TestConnections:
    """Reuse and loss of connections to a target."""

    def test_silence_closes_older_idle(self) -> None:
        """Guards against sending to connections that went silent with another."""

        async def test() -> None:
            bench, (target,) = await start("a", "a", "a", "a")
            tasks = [bench.forward(idempotent=True) for _ in range(2)]
            pair = [await target.accept() for _ in range(2)]
            for connection in pair:
                await connection.read_head()
                connection.answer("ok")
            await asyncio.gather(*tasks)
            task = bench.forward(idempotent=False)
            heads = [asyncio.ensure_future(each.read_head()) for each in pair]
            await asyncio.wait(heads, return_when=asyncio.FIRST_COMPLETED)
            bench.schedule.fire(DEADLINE)
            assert (await task).reason == "timeout"
            for each in heads:
                with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                    await each
            assert [await each.read_to_end() for each in pair] == [b"", b""]
            last = bench.forward(idempotent=True)
            fresh = await target.accept()
            await fresh.read_head()
            fresh.answer("fresh")
            assert (await last).answer.body == b"fresh"

        run(test())

    @pytest.mark.parametrize(("idempotent", "opened"), [(True, 1), (False, 2)])
    def test_proof(self, idempotent: bool, opened: int) -> None:
        """Guards against an order on a connection that has not worked for long."""

        async def test() -> None:
            bench, (target,) = await start("a", "a")
            first = bench.forward(idempotent=True)
            connection = await target.accept()
            await connection.read_head()
            connection.answer("ok")
            await first
            bench.clock.advance(1001.0)
            second = bench.forward(idempotent=idempotent)
            if not idempotent:
                connection = await target.accept()
            await connection.read_head()
            connection.answer("ok")
            await second
            assert len(target.opened) == opened

        run(test())

    def test_limit(self) -> None:
        """Guards against more connections to a target than this instance's share."""

        async def test() -> None:
            bench, (target,) = await start("a", "a", "a")
            tasks = [bench.forward(idempotent=True) for _ in range(3)]
            pair = [await target.accept() for _ in range(2)]
            await pair[0].read_head()
            pair[0].answer("1")
            await pair[0].read_head()
            pair[0].answer("3")
            await pair[1].read_head()
            pair[1].answer("2")
            await asyncio.gather(*tasks)
            assert len(target.opened) == 2

        run(test())

    def test_cancel_while_waiting(self) -> None:
        """Guards against a permit that is kept after its caller left the queue."""

        async def test() -> None:
            bench, (target,) = await start("a")
            bench.placement.gate = asyncio.Event()
            entered = asyncio.Event()
            bench.placement.before = entered.set
            task = bench.forward(idempotent=True)
            await entered.wait()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert (bench.placement.results, target.opened) == ([], [])

        run(test())
