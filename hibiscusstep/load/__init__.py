"""hibiscusstep.load: mixes of callers' requests, driven and measured."""
