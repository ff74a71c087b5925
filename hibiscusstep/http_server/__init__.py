"""hibiscusstep.http_server: HTTP servers whose callers need not keep the limits.

All HTTP ports of an instance use it. `server.serve` runs an application on a listening
socket; `acceptor` accepts connections, `connection` passes their bytes to the HTTP
parser of aiohttp in bounded pieces, and `connection_table` decides which are closed.
"""
