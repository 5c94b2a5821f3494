"""HTTP/1.1 on the event loop, with the sans-I/O parser httptools: a server, a client with connection pools, limits on peers."""
