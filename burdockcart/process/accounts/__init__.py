"""Client accounts on this daemon: keys, evidence and access."""
