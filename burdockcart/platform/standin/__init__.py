"""Stand-ins for the platform, its databases and its clients, over sockets."""
