"""hibiscusstep.cmdline: the programs, one module each."""

import os

# The HTTP library loads the system's certificates on import, even if nothing is
# encrypted. This takes 0.1 s of the 0.6 s that the start of an instance takes, in which
# its callers wait. The programs use plain HTTP only.
os.environ["SSL_CERT_FILE"] = os.devnull
