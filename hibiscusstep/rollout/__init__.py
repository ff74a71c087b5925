"""hibiscusstep.rollout: gradual move of a pool's traffic to a new version."""
