"""Statements and transactions of clients, and their end at a shutdown."""
