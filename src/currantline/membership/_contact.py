"""Choice of the instance of the next exchange."""

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
        IP number and port for other instances.
    """

    name: str
    peer_address: str


def choose_contact(
    live: Mapping[str, Contact],
    outside: Mapping[str, Contact],
    *,
    outsider_share: float,
    rng: random.Random,
) -> Contact | None:
    """Choose a live instance, and now and then one from outside the view.

    Parameters
    ----------
    live : mapping of str to Contact
        Instances that are not dead.
    outside : mapping of str to Contact
        Suspect, dead, listed and seed instances.
    outsider_share : float
        Share of choices from outside.
    rng : random.Random
        Source of the choice.

    Returns
    -------
    Contact or None
        None if there is nothing to choose from.
    """
    is_outside = rng.random() < outsider_share
    pool = (outside or live) if is_outside else (live or outside)
    return pool[rng.choice(sorted(pool))] if pool else None
