"""Codecs without I/O: HTTP/1.1, RESP, server-sent events, ORCA load reports, peer datagrams and feed formats."""
