"""hibiscusstep.forwarding: forwards HTTP requests to targets unchanged."""
