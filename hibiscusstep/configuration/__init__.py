"""hibiscusstep.configuration: files, models, settings and the version in force."""
