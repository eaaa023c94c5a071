"""Entry point of ``python -m burdockcart``."""

import sys

from burdockcart.cmd import main

if __name__ == "__main__":
    sys.exit(main.main())
