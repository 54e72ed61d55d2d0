"""Property-based tests with malformed input from callers, files, platform and peers."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import h11
import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from currantline.cli import main
from currantline.configuration import parse_configuration, read_record
from currantline.exceptions import (
    ConfigurationError,
    PlatformError,
    RecordError,
    SettingsError,
    WireError,
)
from currantline.load import parse_load
from currantline.membership import parse_list
from currantline.peer import (
    LimitedCodec,
    decode_envelope,
    decode_gossip,
    decode_records,
)
from currantline.peer._generated import peer_pb2 as pb
from currantline.settings import read_settings
from currantline.wire import HttpConnection, Request

CONFIGURATION = """
version: 1
services:
  ordering:
    routes: [{name: order, method: POST, path_prefix: /orders}]
    targets: [{name: a, address: "127.0.0.1:7000", data_centre: north, slots: 2}]
"""
FUZZ_SETTINGS = settings(derandomize=True, max_examples=150, deadline=None)
MAX_BODY_BYTES = 1000
REQUEST = Request(method="GET", target="/", headers=(("host", "a"),))

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
HTTP_PARTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        b"host: a\r\n",
        b"content-length: 3\r\n",
        b"content-length: 4\r\n",
        b"content-length: -1\r\n",
        b"content-length: 99999999999999999999\r\n",
        b"transfer-encoding: chunked\r\n",
        b"expect: 100-continue\r\n",
        b"connection: close\r\n",
        b"\r\n",
        b"\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"abc",
        b"\x00",
        b" : \r\n",
    ]
)
HTTP_BYTES = st.lists(HTTP_PARTS | st.binary(max_size=12), max_size=10)


class DiscardTransport(asyncio.Transport):
    """A transport that discards all bytes."""

    def write(self, data: Any) -> None:
        """Discard the bytes."""

    def get_write_buffer_size(self) -> int:
        """Return 0, since nothing is buffered."""
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return an address for ``peername``."""
        return ("127.0.0.1", 1) if name == "peername" else default

    def is_closing(self) -> bool:
        """Return False."""
        return False

    def pause_reading(self) -> None:
        """Do nothing, since no bytes arrive."""

    def resume_reading(self) -> None:
        """Do nothing, since no bytes arrive."""

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


async def read_parts(role: Any, parts: list[bytes]) -> list[Any]:
    """Return the messages parsed from parts followed by the end of the stream."""
    connection = HttpConnection(role, max_body_bytes=MAX_BODY_BYTES)
    connection.connection_made(DiscardTransport())
    if role is h11.CLIENT:
        connection.write_request(REQUEST)
    for part in parts:
        connection.data_received(part)
    connection.eof_received()
    connection.connection_lost(None)
    found: list[Any] = []
    with contextlib.suppress(WireError):
        if role is h11.CLIENT:
            found.append(await connection.read_response())
        elif (request := await connection.read_request()) is not None:
            found.append(request)
    return found


class TestHttp:
    """HTTP of callers and targets."""

    @pytest.mark.parametrize("role", [h11.SERVER, h11.CLIENT])
    def test_any_bytes(self, role: Any) -> None:
        """Guards against bytes that raise an unexpected type of error."""

        @FUZZ_SETTINGS
        @given(parts=HTTP_BYTES)
        def check(parts: list[bytes]) -> None:
            for message in asyncio.run(read_parts(role, parts)):
                assert len(message.body) <= MAX_BODY_BYTES

        check()

    @FUZZ_SETTINGS
    @given(value=st.none() | st.text(max_size=60))
    def test_any_load(self, value: str | None) -> None:
        """Guards against an invalid load header that raises an error."""
        report = parse_load(value)
        assert report is None or report.slots >= 0


class TestFiles:
    """Files that operators write."""

    @FUZZ_SETTINGS
    @given(data=st.data())
    def test_any_configuration(self, data: st.DataObject) -> None:
        """Guards against an invalid configuration that raises an unexpected error."""
        document = yaml.safe_load(CONFIGURATION)
        section, keys = document, ["version", "max_instances", "services"]
        if data.draw(st.booleans()):
            section = document["services"]["ordering"]
            keys = [*section, "queue_limit", "retry_ratio"]
        if data.draw(st.booleans()):
            section = document["services"]["ordering"]["targets"][0]
            keys = list(section)
        section[data.draw(st.sampled_from(keys))] = data.draw(JSON)
        with contextlib.suppress(ConfigurationError):
            parse_configuration(yaml.safe_dump(document), source="a")

    @pytest.mark.parametrize("read", [read_settings, parse_configuration])
    def test_any_text(self, read: Callable[..., Any], tmp_path: Path) -> None:
        """Guards against a traceback for a file that is not YAML."""
        path = tmp_path / "a.yaml"

        @FUZZ_SETTINGS
        @given(text=st.text(max_size=30))
        def check(text: str) -> None:
            path.write_text(text, encoding="utf-8", newline="")
            with contextlib.suppress(SettingsError, ConfigurationError):
                if read is read_settings:
                    read(str(path))
                else:
                    read(text, source="a")

        check()

    def test_any_file(self, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a file that makes the tool print a traceback."""
        path = tmp_path / "a"

        @FUZZ_SETTINGS
        @given(content=st.binary(max_size=30) | JSON.map(json.dumps).map(str.encode))
        def check(content: bytes) -> None:
            path.write_bytes(content)
            for words in (["check", str(path)], ["explain", "r", str(path)]):
                assert main(["currantline", *words]) in (0, 3, 8)
                assert capsys.readouterr().err.count("\n") <= 1

        check()


class TestPlatform:
    """Responses of the platform."""

    @FUZZ_SETTINGS
    @given(value=JSON | st.lists(JSON).map(lambda entries: {"entries": entries}))
    def test_any_list(self, value: Any) -> None:
        """Guards against a malformed list that stops its reader."""
        with contextlib.suppress(PlatformError):
            parse_list(json.dumps(value).encode())

    @FUZZ_SETTINGS
    @given(value=JSON)
    def test_any_record(self, value: Any) -> None:
        """Guards against a malformed record that stops its reader."""
        with contextlib.suppress(RecordError):
            read_record(value)


class TestPeers:
    """Messages of other instances."""

    @pytest.mark.parametrize(
        ("kind", "decode"),
        [
            (pb.Gossip, decode_gossip),
            (pb.Envelope, decode_envelope),
            (pb.Records, decode_records),
        ],
    )
    def test_any_message(self, kind: Any, decode: Callable[[Any], Any]) -> None:
        """Guards against a message that raises an unexpected type of error."""
        sizes = st.integers(0, 40)
        field = st.builds(
            _encode_field, st.integers(1, 9), sizes, st.binary(max_size=9)
        )
        data = st.binary(max_size=30) | st.lists(field, max_size=5).map(b"".join)

        @FUZZ_SETTINGS
        @given(content=data)
        def check(content: bytes) -> None:
            with contextlib.suppress(WireError):
                decode(LimitedCodec().decode(content, kind))

        check()


def _encode_field(number: int, value: int, content: bytes) -> bytes:
    """Return an encoded protobuf field: a varint or length-delimited bytes."""
    if value % 2:
        return bytes([number << 3, value])
    return bytes([(number << 3) | 2, len(content)]) + content
