"""The composition root: builds and wires the parts of one instance."""

import asyncio
import contextlib
import json
import random
from typing import Any

from eliot import log_message

from currantline.clock import Clock, MonotonicClock
from currantline.configuration import Configuration, build_configuration
from currantline.directory import AddressAnswer, assign_owners, build_answer
from currantline.dispatch import LocalPlacement
from currantline.exceptions import (
    AddressInUseError,
    PlatformError,
    UnknownServiceError,
    WireError,
)
from currantline.forwarding import (
    CallerOptions,
    CallerServer,
    Carrier,
    CarrierOptions,
    Guidance,
)
from currantline.membership import InstanceEntry, Status, View
from currantline.settings import Settings
from currantline.wire import Answer, HttpService, Request, answer_json, fetch

__all__ = ["Instance"]

POLL_MS = 500.0
PLATFORM_TIMEOUT_MS = 2000.0


class Instance:
    """One instance of currantline.

    Parameters
    ----------
    settings : Settings
        Its settings.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or MonotonicClock()
        self._rng = random.Random(settings.name)
        self._configuration = Configuration(version=0)
        self._view = View(())
        self._is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._carrier = Carrier(
            LocalPlacement(lambda: self._configuration, self._rng),
            clock=self._clock,
            options=CarrierOptions(max_body_bytes=settings.max_body_bytes),
        )
        self._callers = CallerServer(
            settings.name,
            carrier=self._carrier,
            guidance=Guidance(
                read_configuration=lambda: self._configuration,
                answer_addresses=self._answer_addresses,
                needs_refresh=lambda service: False,
                is_leaving=lambda: self._is_leaving,
            ),
            clock=self._clock,
            options=CallerOptions(max_body_bytes=settings.max_body_bytes),
        )
        self._operators = HttpService(self._answer_operator)

    async def start(self) -> None:
        """Listen on all addresses and start the tasks.

        Raises
        ------
        AddressInUseError
            If an address cannot be used.
        """
        await self._listen("operator_address", self._operators)
        await self._listen("caller_address", self._callers)
        self._tasks.append(asyncio.create_task(self._poll_platform()))

    async def leave(self) -> None:
        """Finish open requests and stop."""
        self._is_leaving = True
        await self._callers.leave(self._settings.leave_timeout_ms)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._operators.stop()
        self._carrier.close()

    async def _listen(self, key: str, server: HttpService | CallerServer) -> None:
        address = getattr(self._settings, key)
        try:
            await server.start(address)
        except OSError as error:
            raise AddressInUseError(
                f"cannot listen on {address}: {error.strerror}",
                source=self._settings.name,
                path=key,
            ) from error

    async def _poll_platform(self) -> None:
        while True:
            with contextlib.suppress(PlatformError):
                await self._read_platform()
            await asyncio.sleep(POLL_MS / 1000)

    async def _read_platform(self) -> None:
        records = (await self._get("/v1/records"))["records"]
        if records:
            body = records[-1]["body"]
            self._configuration = build_configuration(body, source="records")
        entries = (await self._get("/v1/list"))["entries"]
        self._view = View.build(
            InstanceEntry(
                name=entry["name"],
                data_centre=entry["data_centre"],
                caller_address=entry["caller_address"],
                peer_address=entry["peer_address"],
                status=Status.READY,
            )
            for entry in entries
            if entry["kind"] == "instance" and entry["state"] == "live"
        )

    async def _get(self, path: str) -> dict[str, Any]:
        request = Request(method="GET", target=path)
        address = self._settings.platform_address
        try:
            answer = await fetch(address, request, timeout_ms=PLATFORM_TIMEOUT_MS)
        except WireError as error:
            log_message("currantline:platform", error=str(error))
            raise PlatformError(str(error)) from error
        if answer.status != 200:
            raise PlatformError(f"{path} answered {answer.status}")
        value: dict[str, Any] = json.loads(answer.body)
        return value

    def _answer_addresses(self, name: str) -> AddressAnswer:
        service = self._configuration.services.get(name)
        if service is None:
            raise UnknownServiceError(f"no service is named {name!r}")
        return build_answer(
            service,
            assign_owners(service, self._view.names),
            self._view,
            data_centre=self._settings.data_centre,
            version=self._configuration.version,
            rng=self._rng,
        )

    async def _answer_operator(self, request: Request) -> Answer:
        is_ready = bool(self._configuration.services) and bool(self._view.names)
        if request.target == "/health":
            return answer_json({"alive": True})
        if request.target == "/ready":
            return answer_json({"ready": is_ready}, status=200 if is_ready else 503)
        return answer_json({"error": "no such path"}, status=404)
