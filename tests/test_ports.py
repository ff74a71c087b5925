"""Tests that concurrent processes reserve distinct port blocks."""

import subprocess
import sys
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"
PROGRAM = """
import sys
sys.path.insert(0, sys.argv[1])
from fleet import free_ports
print(*free_ports(400), flush=True)
sys.stdin.read()
"""


class TestPortBlocks:
    def test_concurrent_processes_reserve_distinct_ports(self):
        command = [sys.executable, "-c", PROGRAM, str(EXAMPLES)]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
        processes = [subprocess.Popen(command, **pipes) for _ in range(6)]
        try:
            reserved = [process.stdout.readline().split() for process in processes]
        finally:
            for process in processes:
                process.communicate()
        ports = [port for line in reserved for port in line]
        assert len(ports) == 2400
        assert len(set(ports)) == 2400
