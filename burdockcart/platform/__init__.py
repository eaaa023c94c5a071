"""Adapter to the users' platform: its names, formats and calls.

The package lies inside ``burdockcart`` because a top-level folder named
``platform`` would hide the standard library's module of that name.  Nothing
outside it knows the platform's names, and nothing in it decides.
"""
