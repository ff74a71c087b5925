"""hibiscusstep.cmdline: one thin module a program."""

import os

# The HTTP library reads all certificates of the system when it is imported, also where
# nothing is encrypted: 0.1 s of the 0.6 s that a start of an instance takes (five
# starts each), in which its callers wait. The programs speak plain HTTP only.
os.environ["SSL_CERT_FILE"] = os.devnull
