"""Decisions on how much of a process its clients may use, without I/O."""
