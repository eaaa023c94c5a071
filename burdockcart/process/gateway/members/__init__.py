"""Groups of members, and the connections of this daemon to them."""
