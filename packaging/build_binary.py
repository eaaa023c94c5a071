"""Builds the one-file program dist/burdockcart.

Explanation
===========

PyInstaller makes a folder that needs no Python; the folder is packed and
appended to a small loader (loader.c).  The one-file modes of PyInstaller and
Nuitka do not fit: both keep a parent process beside the program, and a daemon
must run as one process.

"""

import hashlib
import io
import pathlib
import subprocess
import sys
import tarfile

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
BUILD = ROOT / "build" / "binary"
OUTPUT = ROOT / "dist" / "burdockcart"
MAGIC = b"BURDOCK1"
COMPRESS_LEVEL = 6


def freeze():
    """Freeze the program into a folder and return its path."""
    command = [
        sys.executable,
        "-m",
        "PyInstaller",
        "--onedir",
        "--noconfirm",
        "--log-level=ERROR",
        "--name=burdockcart",
        "--collect-submodules=burdockcart",
        "--exclude-module=matplotlib",
        "--exclude-module=numpy",
        "--exclude-module=hypothesis",
        "--exclude-module=testtools",
        "--exclude-module=pytest",
        f"--paths={ROOT}",
        f"--distpath={BUILD / 'folder'}",
        f"--workpath={BUILD / 'work'}",
        f"--specpath={BUILD}",
        str(HERE / "entry.py"),
    ]
    subprocess.run(command, check=True)
    return BUILD / "folder" / "burdockcart"


def compile_loader():
    """Compile the loader and return its path."""
    loader = BUILD / "loader"
    command = [
        "cc",
        "-O2",
        "-Wall",
        "-Wextra",
        "-Werror",
        "-o",
        str(loader),
        str(HERE / "loader.c"),
        "-Wl,--gc-sections",
        "-Wl,-Bstatic",
        "-larchive",
        "-lz",
        "-Wl,-Bdynamic",
    ]
    subprocess.run(command, check=True)
    return loader


def pack(folder):
    """Return the folder as a compressed archive."""
    buffer = io.BytesIO()
    with tarfile.open(
        fileobj=buffer, mode="w:gz", compresslevel=COMPRESS_LEVEL
    ) as archive:
        for path in sorted(folder.rglob("*")):
            if not path.is_dir() or path.is_symlink():
                name = pathlib.Path("burdockcart") / path.relative_to(folder)
                archive.add(path, str(name), recursive=False)
    return buffer.getvalue()


def main():
    """Build the program."""
    BUILD.mkdir(parents=True, exist_ok=True)
    data = pack(freeze())
    build_id = hashlib.sha256(data).hexdigest()[:16].encode()
    trailer = MAGIC + build_id + f"{len(data):016x}".encode()
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(compile_loader().read_bytes() + data + trailer)
    OUTPUT.chmod(0o755)
    print(f"built dist/burdockcart size_bytes={OUTPUT.stat().st_size}")


if __name__ == "__main__":
    main()
