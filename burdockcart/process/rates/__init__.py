"""Rates of client accounts, shared by all daemons; see section 2.3 of
docs/client-accounts.md.
"""
