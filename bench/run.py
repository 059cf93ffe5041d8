"""Runs the benchmarks one after another; each prints one JSON line per figure."""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path

BENCHMARKS = {
    "hop": ("hop.py",),
    "load": ("load.py",),
    "reservation": ("reservation.py",),
    "membership": ("membership.py",),
    "distribution": ("distribution.py",),
    "fleet": ("fleet.py",),
}


def main() -> int:
    """Run the named benchmarks, or all of them; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    # argparse also checks the empty default against the choices.
    parser.add_argument("names", nargs="*", choices=[*BENCHMARKS, []], metavar="NAME")
    names = parser.parse_args().names or list(BENCHMARKS)
    failed = 0
    for name in names:
        script, *arguments = BENCHMARKS[name]
        path = Path(__file__).with_name(script)
        print(f"# {name}", file=sys.stderr, flush=True)
        failed |= subprocess.run([sys.executable, str(path), *arguments]).returncode
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
