"""Starts an instance from a checkout, without an installed package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from currantline.gatewayd import run

sys.exit(run())
