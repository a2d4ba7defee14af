"""Codecs without I/O: HTTP/1.1, server-sent events, ORCA load reports, authenticated peer datagrams."""
