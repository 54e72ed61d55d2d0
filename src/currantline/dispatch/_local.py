"""Choice of a target without coordination between instances."""

import random
from collections import Counter
from collections.abc import Callable

from currantline.admission import WorkItem
from currantline.configuration import Configuration
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import AttemptResult, Permit, compute_connection_limit

__all__ = ["LocalPlacement"]


class LocalPlacement:
    """Power of two choices, by this instance's in-flight requests only.

    Parameters
    ----------
    read_configuration : callable
        Returns the configuration in force.
    rng : random.Random
        Random number generator.
    """

    def __init__(
        self, read_configuration: Callable[[], Configuration], rng: random.Random
    ) -> None:
        self._read_configuration = read_configuration
        self._rng = rng
        self._in_flight: Counter[str] = Counter()

    async def acquire(self, work: WorkItem) -> Permit:
        """Choose a target immediately.

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
            connections=compute_connection_limit(
                target.connections, configuration.max_instances
            ),
        )

    def release(
        self, permit: Permit, result: AttemptResult, *, duration_ms: float
    ) -> None:
        """Record the end of the request."""
        self._in_flight[permit.target] -= 1
