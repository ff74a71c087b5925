"""hibiscusstep.standins: small fakes of the platform, an engine and a service."""
