"""Checks the one-file program: no Python, one process, fast start.

Runs it with an empty environment, so that no Python is on the path, and
counts the processes of a running daemon.
"""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

import psutil

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "dist/burdockcart"
START_LIMIT_S = 3.0
PORT = 21901
SETTINGS = f"""\
[daemon]
id = check-1
failure_domain = d1
ip = 127.0.0.1
caller_port = {PORT}
peer_port = {PORT + 1}
[platform]
address = 127.0.0.1:{PORT + 2}
[session_keys]
k1 = 00112233445566778899aabbccddeeff
[callers]
desk = check-secret
"""


def wait_ready(process):
    """Return the seconds until the daemon is ready."""
    started = time.monotonic()
    url = f"http://127.0.0.1:{PORT}/v1/ready"
    while time.monotonic() - started < 10:
        if process.poll() is not None:
            sys.exit(f"daemon exited with code {process.returncode}")
        try:
            urllib.request.urlopen(url, timeout=1).read()
            return time.monotonic() - started
        except OSError:
            time.sleep(0.01)
    sys.exit("daemon did not become ready in 10 s")


def run_daemon(folder, environment):
    """Start the daemon, check it and return its start time."""
    settings = pathlib.Path(folder) / "settings.ini"
    settings.write_text(SETTINGS, encoding="utf-8")
    with open(pathlib.Path(folder) / "log", "wb") as log:
        process = subprocess.Popen(
            [str(PROGRAM), "serve", str(settings)],
            env=environment,
            stderr=log,
        )
    try:
        start_s = wait_ready(process)
        found = psutil.Process(process.pid)
        children = found.children(recursive=True)
        if children:
            sys.exit(f"the daemon started other processes: {children}")
        resident = found.memory_info().rss
        location = found.exe()
    finally:
        process.send_signal(signal.SIGTERM)
        code = process.wait(20)
    if code:
        sys.exit(f"daemon exited with code {code} after SIGTERM")
    return start_s, resident, os.path.dirname(location)


def main():
    """Check the program and print its start times and sizes."""
    with tempfile.TemporaryDirectory(dir="/run") as memory:
        environment = {"BURDOCKCART_UNPACK_DIR": memory}
        first_s, _, _ = run_daemon(memory, environment)
        next_s, resident, location = run_daemon(memory, environment)
        inside = location.startswith(memory)
    if not inside:
        sys.exit(f"the daemon ran from {location}")
    if first_s > START_LIMIT_S:
        sys.exit(f"first start took {first_s:.2f} s, limit {START_LIMIT_S} s")
    print(
        f"processes=1 first_start_s={first_s:.2f} next_start_s={next_s:.2f} "
        f"resident_mb={resident / 2**20:.1f} "
        f"size_mb={PROGRAM.stat().st_size / 2**20:.1f}"
    )


if __name__ == "__main__":
    main()
