"""hibiscusstep.membership: which instances are alive, and who does what."""
