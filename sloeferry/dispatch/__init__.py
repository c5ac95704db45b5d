"""What joins the decisions to the network: requests in, commands out, ends of attempts in."""
