"""The network: clients, backends, discovery and operators, each on asyncio's socket calls."""
