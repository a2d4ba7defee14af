"""Chat commands over WebSocket: sessions that outlive their sockets, and one final answer per command."""
