"""Chat commands over WebSocket: sessions that outlive sockets, and one final answer to each command."""
