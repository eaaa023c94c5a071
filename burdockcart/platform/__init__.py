"""Adapter to the users' platform: its names, formats and calls.

The package lies inside ``burdockcart`` because a top-level folder named
``platform`` would hide the standard library's module of that name.  No other
package uses the platform's names, and this package makes no decisions.
"""
