"""Entry point of the one-file program."""

import sys

from burdockcart.cmd import main

sys.exit(main.main())
