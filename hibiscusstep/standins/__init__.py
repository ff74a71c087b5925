"""hibiscusstep.standins: stand-ins for the platform, an engine and a service."""
