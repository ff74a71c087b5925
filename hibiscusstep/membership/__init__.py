"""hibiscusstep.membership: the live instances and the roles assigned to them."""
