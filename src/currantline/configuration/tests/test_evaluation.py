"""Tests of the evaluation of records."""

import copy
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantline.configuration import (
    RELEASE_SCHEMA,
    Accepted,
    ConfigurationState,
    Reason,
    Record,
    Refused,
    Schema,
    apply_changes,
    build_configuration,
    compute_changes,
    digest_configuration,
    evaluate_record,
    find_incompatibility,
    parse_changes,
    parse_configuration,
    render_change,
    render_configuration,
)

TEXT = """
version: 3
services:
  ordering:
    targets:
      - {name: a, address: "127.0.0.1:7000", data_centre: north, slots: 2}
      - {name: b, address: "127.0.0.1:7001", data_centre: south, slots: 2}
    routes:
      - {name: order, method: POST, path_prefix: /orders}
"""
CONFIGURATION = parse_configuration(TEXT)
STATE = ConfigurationState.build(1, CONFIGURATION)
TARGET = {"address": "127.0.0.1:7002", "data_centre": "north", "slots": 2}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["set", "remove", "value", "name", "targets", "version"])
            | st.text(max_size=3),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
PATHS = st.sampled_from(
    [
        "max_instances",
        "schema_level",
        "services",
        "services/ordering",
        "services/ordering/timeout_ms",
        "services/ordering/targets",
        "services/ordering/targets/a",
        "services/ordering/routes/order",
        "services/new",
        "services/new/targets/a",
    ]
)
CHANGES = st.fixed_dictionaries(
    {"set": PATHS, "value": JSON_VALUES}
) | st.fixed_dictionaries({"remove": PATHS})
# In this pair of releases, level 2 introduces the field retry_ratio.
NEWER = Schema(
    known_level=2, levels={**RELEASE_SCHEMA.levels, "service.retry_ratio": 2}
)
OLDER = Schema(
    known_level=1,
    levels={k: v for k, v in NEWER.levels.items() if v == 1},
)


def patch(*changes: dict[str, Any], base: int = 3, **fields: Any) -> Record:
    """Return a patch of the state that these tests use."""
    return Record(
        sequence=2, kind="patch", base_version=base, body=list(changes), **fields
    )


def change_field(field: str, value: Any) -> dict[str, Any]:
    """Return a change to a field of the service."""
    return {"set": f"services/ordering/{field}", "value": value}


def nest_lists(depth: int) -> Any:
    """Return lists nested to a depth."""
    return [] if depth == 1 else [nest_lists(depth - 1)]


class TestEvaluateRecord:
    """Verdicts on records."""

    def test_accepted_patch(self) -> None:
        """Guards against a patch that changes more or less than it specifies."""
        record = patch(
            change_field("timeout_ms", 250),
            {"set": "services/ordering/targets/c", "value": TARGET},
            {"remove": "services/ordering/targets/a"},
            {"set": "max_instances", "value": 20},
        )
        verdict = evaluate_record(STATE, record)
        assert isinstance(verdict, Accepted)
        after = verdict.state.configuration
        assert after is not None
        service = after.services["ordering"]
        assert (verdict.state.sequence, after.version, after.max_instances) == (
            2,
            4,
            20,
        )
        assert [target.name for target in service.targets] == ["b", "c"]
        assert service.timeout_ms == 250.0
        assert service.routes == CONFIGURATION.services["ordering"].routes

    def test_reused_digests(self) -> None:
        """Guards against a stale digest of a changed, new or removed service."""
        # The digest includes retry_ratio once the level is raised.
        state = ConfigurationState.build(1, CONFIGURATION, NEWER)
        value = {"targets": [{"name": "c", **TARGET}]}
        for changes in (
            [{"set": "services/new", "value": value}],
            [change_field("timeout_ms", 9)],
            [{"set": "schema_level", "value": 2}],
            [change_field("retry_ratio", 0.7)],
            [{"remove": "services/new"}, {"set": "max_instances", "value": 9}],
        ):
            verdict = evaluate_record(state, patch(*changes, base=state.version), NEWER)
            assert isinstance(verdict, Accepted)
            state = verdict.state
            assert state.configuration is not None
            assert state.digest == digest_configuration(state.configuration, NEWER)
        assert len(state.service_digests) == 1

    @pytest.mark.parametrize(
        ("record", "reason"),
        [
            (patch(change_field("timeout_ms", 9), base=2), "stale-base-version"),
            (patch(change_field("timeout_ms", 9), base=4), "stale-base-version"),
            (patch(change_field("timeout_ms", 0)), "invalid"),
            (patch(change_field("timeout_ms", "9")), "invalid"),
            (patch(change_field("timeout_ms", 10**400)), "invalid"),
            (patch({"remove": "services/other"}), "invalid"),
            (patch({"remove": "services/ordering/targets/c"}), "invalid"),
            (patch({"set": "services/a b", "value": {"targets": []}}), "invalid"),
            (
                patch(
                    {
                        "set": "services/other",
                        "value": {"targets": [{"name": "a", **TARGET}]},
                    }
                ),
                "invalid",
            ),
            (patch({"set": "max_instances", "value": 126}), "limit-exceeded"),
            (patch(change_field("retry_ratio", 1.5)), "limit-exceeded"),
            (patch({"set": "note", "value": "x" * 1_000_000}), "limit-exceeded"),
            (
                patch(change_field("timeout_ms", 9), schema_level=2),
                "schema-level-not-in-force",
            ),
            (patch(change_field("timeout", 9)), "schema-level-not-in-force"),
            (patch({"set": "schema_level", "value": 0}), "invalid"),
            (patch({"set": "schema_level", "value": 3}), "invalid"),
            (patch({"set": "version", "value": 9}), "malformed"),
            (patch({"set": "max_instances"}), "malformed"),
            (patch(), "malformed"),
            (patch(change_field("timeout_ms", float("nan"))), "malformed"),
            (patch(change_field("timeout_ms", 9), author=7), "malformed"),
            (patch(change_field("timeout_ms", 9), author="x" * 101), "malformed"),
            (patch(change_field("timeout_ms", nest_lists(20))), "malformed"),
            (patch(change_field("timeout_ms", nest_lists(18))), "invalid"),
            (Record(sequence=2, kind="x" * 1000, body={}), "malformed"),
            (Record(sequence=2, kind="state", body={}), "malformed"),
            (
                Record(sequence=2, kind="snapshot", body={"version": 4}),
                "unexpected-snapshot",
            ),
            (
                Record(sequence=2, kind="snapshot", body={"version": 3}),
                "unexpected-snapshot",
            ),
        ],
    )
    def test_refused(self, record: Record, reason: str) -> None:
        """Guards against a record that takes effect in violation of a rule."""
        verdict = evaluate_record(STATE, record)
        assert isinstance(verdict, Refused)
        assert verdict.reason is Reason(reason), verdict.detail
        assert len(verdict.detail) <= 300

    def test_all_or_nothing(self) -> None:
        """Guards against a refused patch of which some changes take effect."""
        document = render_configuration(CONFIGURATION)
        record = patch(
            change_field("timeout_ms", 9),
            {"set": "services/new", "value": {"targets": []}},
            {"set": "services/new/targets/c", "value": TARGET},
            {"remove": "services/other"},
        )
        before = copy.deepcopy(record.body)
        assert isinstance(evaluate_record(STATE, record), Refused)
        assert render_configuration(CONFIGURATION) == document
        assert record.body == before

    def test_repeated_snapshot(self) -> None:
        """Guards against refusing a snapshot of the configuration in force."""
        body = render_configuration(CONFIGURATION)
        verdict = evaluate_record(STATE, Record(sequence=2, kind="snapshot", body=body))
        assert verdict == Accepted(state=attrs.evolve(STATE, sequence=2))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(body=JSON_VALUES | st.lists(CHANGES, min_size=1, max_size=3))
    def test_any_body(self, body: Any) -> None:
        """Guards against a published body that stops every instance by an exception."""
        kinds = ["patch", "snapshot"]
        for kind in kinds:
            record = Record(sequence=1, kind=kind, base_version=3, body=body)
            evaluate_record(STATE, record)
            evaluate_record(ConfigurationState(), record)


class TestMixedReleases:
    """An older and a newer release in one fleet."""

    def test_field_above_level(self) -> None:
        """Guards against releases that disagree on a field above the level."""
        records = [
            patch(change_field("retry_ratio", 0.5)),
            patch(change_field("retry_ratio", 0.5), schema_level=2),
            patch({"set": "services/new", "value": {"targets": [], "retry_ratio": 1}}),
            Record(
                sequence=2,
                kind="snapshot",
                body={
                    "version": 3,
                    "schema_level": 2,
                    "services": {"ordering": {"targets": [], "retry_ratio": 0.5}},
                },
            ),
        ]
        for record in records:
            verdict = evaluate_record(STATE, record, NEWER)
            assert isinstance(verdict, Refused)
            assert evaluate_record(STATE, record, OLDER) == verdict

    def test_digest_below_level(self) -> None:
        """Guards against a digest that depends on defaults of a newer release."""
        other = attrs.evolve(CONFIGURATION.services["ordering"], retry_ratio=0.7)
        changed = attrs.evolve(CONFIGURATION, services={"ordering": other})
        assert digest_configuration(CONFIGURATION, NEWER) == digest_configuration(
            changed, OLDER
        )
        assert digest_configuration(CONFIGURATION) != digest_configuration(changed)

    def test_raised_level(self) -> None:
        """Guards against an older release that evaluates records above its level."""
        raise_level = patch({"set": "schema_level", "value": 2})
        raised = [
            evaluate_record(STATE, raise_level, schema) for schema in (NEWER, OLDER)
        ]
        assert [isinstance(verdict, Accepted) for verdict in raised] == [True, True]
        newer, older = (v.state for v in raised if isinstance(v, Accepted))
        record = patch(change_field("retry_ratio", 0.5), base=4, schema_level=2)
        assert find_incompatibility(newer, record, NEWER) == ""
        assert "schema level 2 is above 1" in find_incompatibility(older, record, OLDER)
        assert isinstance(evaluate_record(newer, record, NEWER), Accepted)


class TestChanges:
    """Computed differences between configurations."""

    def test_difference_applies(self) -> None:
        """Guards against a difference that does not produce the new configuration."""
        document = render_configuration(CONFIGURATION)
        service = document["services"]["ordering"]
        service["targets"].reverse()
        service["queue_limit"] = 7
        documents = [
            {**document, "max_instances": 9, "services": {}},
            document,
            {"version": 3, "services": {"ordering": {**service, "routes": []}}},
            {"version": 3, "services": {"other": {"targets": service["targets"][:1]}}},
        ]
        configurations = [CONFIGURATION, *map(build_configuration, documents)]
        for old in configurations:
            for new in configurations:
                changes = compute_changes(old, new)
                body = [render_change(change) for change in changes]
                parsed = parse_changes(body) if body else ()
                assert apply_changes(old, parsed) == new
