"""Entry point of ``python -m burdockcart.platform``."""

import os
import signal
import sys
from types import FrameType


def _exit(number: int, frame: FrameType | None) -> None:
    os._exit(0)


def main() -> int:
    """Run the daemon; signals that arrive before it runs have their effect.

    Its imports take some hundred milliseconds.  The settings are read after
    them, so an earlier SIGHUP needs no action.
    """
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from burdockcart.platform import launch

    return launch.main()


if __name__ == "__main__":
    sys.exit(main())
