"""Tests of the state machine of one request."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantline.exceptions import InvariantError
from currantline.forwarding import Exchange, Step

DEADLINE = 100.0
STEPS = ("queue", "assign", "hold_answer", "answer", "refuse", "lose", "abandon")
NOWS = st.sampled_from([0.0, DEADLINE - 1.0, DEADLINE, DEADLINE + 50.0])
ACTIONS = st.one_of(
    st.tuples(st.sampled_from(STEPS), st.none()), st.tuples(st.just("send"), NOWS)
)
# Random steps alone end most sequences before the first send.
SENT = [("queue", None), ("assign", None), ("send", 0.0)] * 2
STARTS = st.integers(0, len(SENT)).map(lambda count: SENT[:count])
SEQUENCES = st.builds(list.__add__, STARTS, st.lists(ACTIONS, max_size=10))


def apply(exchange: Exchange, action: tuple[str, float | None]) -> bool:
    """Take a step and return whether it was allowed."""
    name, now = action
    try:
        getattr(exchange, name)(**({} if now is None else {"now": now}))
    except InvariantError:
        return False
    return True


class TestExchange:
    """The rules of one request."""

    @settings(derandomize=True, max_examples=1000)
    @given(st.booleans(), SEQUENCES)
    def test_guarantees_hold_for_every_sequence(
        self, idempotent: bool, actions: list[tuple[str, float | None]]
    ) -> None:
        """Guards against a sequence of steps that breaks guarantee 2, 3 or 4."""
        exchange = Exchange(idempotent=idempotent, deadline=DEADLINE)
        sent: list[float] = []
        for action in actions:
            was_ended, before = exchange.is_ended, exchange.step
            is_allowed = apply(exchange, action)
            if is_allowed and action[1] is not None:
                sent.append(action[1])
            assert not (was_ended and is_allowed)
            assert is_allowed or exchange.step is before
        assert exchange.sends == len(sent)
        assert idempotent or len(sent) <= 1
        assert all(now < DEADLINE for now in sent)
        assert exchange.step is not Step.NOT_RUN or not sent
        assert exchange.step not in (Step.ANSWERED, Step.UNKNOWN) or sent

    @pytest.mark.parametrize(
        ("idempotent", "allowed", "refused"),
        [
            (True, ["queue"], "refuse"),
            (False, [], "queue"),
            (True, ["hold_answer", "queue", "assign", "send", "queue"], "answer"),
        ],
    )
    def test_step_after_send(
        self, idempotent: bool, allowed: list[str], refused: str
    ) -> None:
        """Guards against not-run after a send, a repeated order or an old answer."""
        exchange = Exchange(idempotent=idempotent, deadline=DEADLINE)
        for name in ("queue", "assign", "send", *allowed):
            assert apply(exchange, (name, 1.0 if name == "send" else None))
        assert not apply(exchange, (refused, None))
