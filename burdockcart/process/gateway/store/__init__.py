"""What the daemon reads from and keeps in the platform's store."""
