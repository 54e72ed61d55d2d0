"""Starts an instance from a source checkout, without installing the package."""

import os
import signal
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def main() -> int:
    """Run one instance and return the exit code."""
    # The default action would end a process that is still starting. A change of the
    # settings that the signal announces is noticed later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path[:0] = [os.path.join(ROOT, "src"), os.path.join(ROOT, "target", "deps")]
    # Instances do not use TLS. asyncio works without the ssl module, whose library
    # takes 1.3 MB of memory in each process.
    sys.modules["ssl"] = None  # type: ignore[assignment]

    from currantline.gatewayd import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
