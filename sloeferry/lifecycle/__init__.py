"""What a process is to its clients and operators: its start, its state, reloads, drains, takeovers and its end."""
