"""What an instance is told: settings, addresses, limits and the operators' feature switches."""
