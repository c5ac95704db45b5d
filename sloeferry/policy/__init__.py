"""All decisions of a proxy, and their host on sockets: what is chosen, when, and why.  Knows no network and no kit."""
