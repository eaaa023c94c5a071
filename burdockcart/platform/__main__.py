"""Entry point of ``python -m burdockcart.platform``."""

import signal
import sys


def main() -> int:
    """Run the daemon."""
    # Until the daemon handles it, SIGHUP would end the process; the settings
    # are read after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from burdockcart.platform import launch

    return launch.main()


if __name__ == "__main__":
    sys.exit(main())
