"""Links between daemons, and statements that one runs for another.

A member accepts fewer connections than a large fleet has daemons.  A few
daemons, the holders, keep connections to it; the others relay their statements
through a holder.
"""
