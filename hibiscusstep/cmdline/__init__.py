"""hibiscusstep.cmdline: one thin module a program."""
