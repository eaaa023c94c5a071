"""Replacement of a lost or leaving primary, and what may be acknowledged."""
