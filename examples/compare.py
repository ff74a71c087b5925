"""examples.compare: starts an example deployment and compares policies on it."""

import subprocess
import sys
from pathlib import Path

from fleet import BIN, OPERATOR_KEY, Fleet

from hibiscusstep.load.mix import load_mix

LOADS = Path(__file__).parent / "loads"


def main():
    """Run ``compare.py MIX [options of hibiscusstep-load compare]``."""
    name, *options = sys.argv[1:]
    path = LOADS / f"{name}.json"
    mix = load_mix(path)
    settings = {"history": "", "log_level": "WARNING"}
    with Fleet(
        mix.deployment,
        targets=mix.targets,
        settings=settings,
        engine_options=mix.engine_options,
    ) as fleet:
        callers = [part for url in fleet.callers.values() for part in ("--caller", url)]
        first = next(iter(fleet.instances.values()))
        command = [BIN / "hibiscusstep-load", "compare", path, *callers]
        command += ["--platform", fleet.platform, "--key", OPERATOR_KEY]
        command += ["--entry", first.operator_address, *options]
        sys.exit(subprocess.run(command).returncode)


if __name__ == "__main__":
    main()
