"""hibiscusstep.configuration: folder, models, settings and the version in force."""
