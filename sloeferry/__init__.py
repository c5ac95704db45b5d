"""An HTTP load balancer: a fleet of proxies that share nothing, each sends a request to the least loaded backend."""
