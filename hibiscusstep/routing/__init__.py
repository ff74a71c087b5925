"""hibiscusstep.routing: pure decisions; no sockets, no clock of their own."""
