"""hibiscusstep.platform: adapter between the users' platform and hibiscusstep."""
