"""hibiscusstep.platform: translates between the users' platform and the product."""
