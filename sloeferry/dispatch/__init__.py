"""Connects the policy to the network: passes requests and attempt results in and commands out."""
