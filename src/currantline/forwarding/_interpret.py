"""What a caller's request asks for, and the answer that it gets."""

import uuid
from urllib.parse import urlsplit

import attrs

from currantline.admission import WorkItem
from currantline.configuration import Service
from currantline.exceptions import WireError
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._progress import Completion
from currantline.wire import Headers, Request, Response, find_header, strip_hop_by_hop

__all__ = ["interpret", "present", "refuse"]

RETRY_AFTER_S = 1
MAX_REQUEST_ID_LENGTH = 128

# Nine digits are 11 days, longer than any deadline that makes sense.
MAX_TIMEOUT_DIGITS = 9


def interpret(
    service: Service, request: Request, *, now: float
) -> tuple[WorkItem, Request]:
    """Return the work that a request means and the request for the target.

    Parameters
    ----------
    service : Service
        Service that the path names.
    request : Request
        Request of the caller.
    now : float
        Time of its arrival, in milliseconds of the clock.

    Returns
    -------
    tuple of WorkItem and Request
        What dispatch needs, and the request with the service's own path.

    Raises
    ------
    WireError
        If a header of currantline is not allowed.
    """
    target = request.target.split(f"/services/{service.name}", 1)[1]
    route = service.match_route(request.method, urlsplit(target).path)
    given = find_header(request.headers, "currantline-timeout-ms")
    work = WorkItem(
        request_id=_read_request_id(request.headers),
        service=service.name,
        route=route.name,
        priority=route.priority,
        idempotent=route.idempotent,
        deadline=now + _read_timeout(given, service.timeout_ms),
        arrived=now,
    )
    return work, attrs.evolve(request, target=target)


def present(
    completion: Completion,
    *,
    request_id: str,
    instance: str,
    method: str,
    refresh: bool,
) -> Response:
    """Return the answer for the caller.

    Parameters
    ----------
    completion : Completion
        How the request ended.
    request_id : str
        Its identifier.
    instance : str
        Name of this instance.
    method : str
        Method of the request.
    refresh : bool
        Whether the caller should ask for addresses again.

    Returns
    -------
    Response
        The target's answer or one that states the outcome.
    """
    headers: Headers = (
        ("currantline-outcome", completion.outcome.value),
        ("currantline-request-id", request_id),
        ("currantline-instance", instance),
    )
    if completion.target:
        headers += (("currantline-target", completion.target),)
    if completion.reason:
        headers += (("currantline-reason", completion.reason),)
    if refresh:
        headers += (("currantline-refresh", "1"),)
    if completion.answer is not None:
        return _pass_on(completion.answer, headers, method)
    if completion.outcome is Outcome.NOT_RUN:
        headers += (("retry-after", str(RETRY_AFTER_S)),)
        status = 400 if completion.reason == "bad-request" else 503
        return Response(status=status, headers=headers)
    status = 504 if completion.reason == "timeout" else 502
    return Response(status=status, headers=headers)


def refuse(status: int, reason: str, text: str) -> Response:
    """Return an answer to a request that no service can take."""
    headers = (
        ("currantline-outcome", Outcome.NOT_RUN.value),
        ("currantline-reason", reason),
        ("content-type", "text/plain"),
    )
    return Response(status=status, headers=headers, body=f"{text}\n".encode())


def _pass_on(answer: Response, headers: Headers, method: str) -> Response:
    kept = strip_hop_by_hop(answer.headers)
    if method == "HEAD" or answer.status == 304:
        # The length of the body that GET would return is part of the answer.
        length = find_header(answer.headers, "content-length")
        kept += (("content-length", length),) if length is not None else ()
    return attrs.evolve(answer, headers=kept + headers)


def _read_request_id(headers: Headers) -> str:
    given = find_header(headers, "currantline-request-id")
    if given is None:
        return uuid.uuid4().hex
    # Visible ASCII only: the value is copied into headers and logs.
    is_visible = all("!" <= letter <= "~" for letter in given)
    if not is_visible or not 0 < len(given) <= MAX_REQUEST_ID_LENGTH:
        raise WireError(
            "currantline-request-id is not 1 to"
            f" {MAX_REQUEST_ID_LENGTH} visible ASCII characters"
        )
    return given


def _read_timeout(given: str | None, default_ms: float) -> float:
    if given is None:
        return default_ms
    is_number = given.isascii() and given.isdecimal()
    if not is_number or len(given) > MAX_TIMEOUT_DIGITS or not int(given):
        raise WireError(
            "currantline-timeout-ms is not a positive number of at most"
            f" {MAX_TIMEOUT_DIGITS} digits: {given[:32]!r}"
        )
    return float(given)
