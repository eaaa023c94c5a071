"""Runs the shell blocks of the pages against a running demo.

Usage: check_commands.py PAGE...

All blocks of a page that are fenced with ``sh`` run in one shell with
``set -e``, so variables set in one block are visible in the next.  A command
with a nonzero exit code fails the check.
"""

import pathlib
import re
import signal
import subprocess
import sys
import tempfile

BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.DOTALL | re.MULTILINE)
PAGE_TIMEOUT_S = 120


def check(page, folder):
    """Run the blocks of a page; return whether all succeeded."""
    blocks = BLOCK.findall(page.read_text(encoding="utf-8"))
    script = "set -euo pipefail\n" + "\n".join(blocks)
    done = subprocess.run(
        ["bash", "-c", script],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=PAGE_TIMEOUT_S,
    )
    print(f"{page.name}: {len(blocks)} blocks, exit code {done.returncode}")
    if done.returncode:
        print(done.stdout + done.stderr, file=sys.stderr)
    return done.returncode == 0


def main():
    """Start the demo, check the pages and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        demo = subprocess.Popen(
            ["burdockcart", "demo", "--hold", "--folder", folder],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            ready = any(line == "ready\n" for line in demo.stdout)
            pages = [pathlib.Path(name) for name in sys.argv[1:]]
            return 0 if ready and all([check(p, folder) for p in pages]) else 1
        finally:
            demo.send_signal(signal.SIGTERM)
            demo.wait(30)


if __name__ == "__main__":
    sys.exit(main())
