"""hibiscusstep.load: load generation, emulation and measurement."""
