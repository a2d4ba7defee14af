"""Estimates run times by request class and kind of server, including kinds not seen before. No I/O."""
