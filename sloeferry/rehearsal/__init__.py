"""The rehearsal kit: a whole bank in one process, on a clock and a network of its own.  The daemon imports none of it."""
