"""Instance whose peers reach it through a proxy: the program with these differences.

    HIBISCUSSTEP_SETTINGS=... python tests/soak_instance.py IP PORT BEHIND --dialect ...

It listens for peers on port BEHIND instead of PORT, where the proxy listens that stands
before it. It connects to instances from its own address, which tells their proxies who
it is.
"""

import runpy
import sys

from hibiscusstep.cmdline import early_signals

early_signals.record_signals()

import uvloop  # noqa: E402

NETWORK = "127.77."


class _Loop(uvloop.Loop):
    async def create_server(self, factory, host=None, port=None, **options):
        if (host, port) == (_IP, _PORT):
            port = _BEHIND
        return await super().create_server(factory, host, port, **options)

    async def create_connection(self, factory, host=None, port=None, **options):
        if host and host.startswith(NETWORK):
            options["local_addr"] = _IP, 0
        return await super().create_connection(factory, host, port, **options)


if __name__ == "__main__":
    _IP, _PORT, _BEHIND = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    del sys.argv[1:4]
    uvloop.Loop = _Loop
    runpy.run_module("hibiscusstep.cmdline.entry", run_name="__main__")
