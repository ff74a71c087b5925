"""hibiscusstep.claims: keys of requests that must not repeat, kept on the platform."""
