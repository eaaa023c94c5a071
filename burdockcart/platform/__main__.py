"""Entry point of ``python -m burdockcart.platform``."""

import sys

from burdockcart.platform import launch

if __name__ == "__main__":
    sys.exit(launch.main())
