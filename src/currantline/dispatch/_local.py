"""Choice of a target without coordination."""

import random
from collections import Counter
from collections.abc import Callable

from currantline.admission import Work
from currantline.configuration import Configuration
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import AttemptResult, Permit, share_connections

__all__ = ["LocalPlacement"]


class LocalPlacement:
    """Power of two choices on this instance's own in-flight requests.

    Parameters
    ----------
    read_configuration : callable
        Returns the configuration in force.
    rng : random.Random
        Source of the choices.
    """

    def __init__(
        self, read_configuration: Callable[[], Configuration], rng: random.Random
    ) -> None:
        self._read_configuration = read_configuration
        self._rng = rng
        self._in_flight: Counter[str] = Counter()

    async def acquire(self, work: Work) -> Permit:
        """Choose a target at once.

        Raises
        ------
        RequestRefusedError
            If the service has no targets.
        """
        configuration = self._read_configuration()
        service = configuration.services.get(work.service)
        if service is None or not service.targets:
            raise RequestRefusedError("the service has no targets", reason="no-target")
        targets = [t for t in service.targets if t.name not in work.avoid]
        targets = targets or list(service.targets)
        pair = self._rng.sample(targets, min(2, len(targets)))
        target = min(pair, key=lambda target: self._in_flight[target.name])
        self._in_flight[target.name] += 1
        return Permit(
            request_id=work.request_id,
            target=target.name,
            address=target.address,
            connections=share_connections(
                target.connections, configuration.max_instances
            ),
        )

    def release(
        self, permit: Permit, result: AttemptResult, *, duration_ms: float
    ) -> None:
        """Count the request as ended."""
        self._in_flight[permit.target] -= 1
