"""Decision logic without I/O: no module here uses sockets, clocks or threads."""
