"""Selection of the peer for the next gossip exchange."""

import random
from collections.abc import Mapping

import attrs

__all__ = ["Contact", "choose_contact"]


@attrs.frozen(kw_only=True)
class Contact:
    """Instance to exchange gossip with.

    Parameters
    ----------
    name : str
        Name of the instance.
    peer_address : str
        IP address and port for other instances.
    """

    name: str
    peer_address: str


def choose_contact(
    live: Mapping[str, Contact],
    outside: Mapping[str, Contact],
    *,
    outside_view_ratio: float,
    rng: random.Random,
) -> Contact | None:
    """Choose a live instance or, with a given probability, one outside the view.

    Parameters
    ----------
    live : mapping of str to Contact
        Instances that are not dead.
    outside : mapping of str to Contact
        Suspect, dead, listed and seed instances.
    outside_view_ratio : float
        Probability of choosing an instance outside the view.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    Contact or None
        None if both mappings are empty.
    """
    from_outside = rng.random() < outside_view_ratio
    candidates = (outside or live) if from_outside else (live or outside)
    return candidates[rng.choice(sorted(candidates))] if candidates else None
