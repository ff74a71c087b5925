"""hibiscusstep.forwarding: requests passed on to targets as they are."""
