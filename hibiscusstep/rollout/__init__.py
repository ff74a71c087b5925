"""hibiscusstep.rollout: a pool's traffic moves to another version of its targets."""
