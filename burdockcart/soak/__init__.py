"""Fault soak: seeded schedules, and checks of what clients and members saw."""
