"""hibiscusstep.routing: dispatch decisions as pure code without sockets or clocks."""
