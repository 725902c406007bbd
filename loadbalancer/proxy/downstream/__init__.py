"""HTTP/1.1 to clients: the listener, connections, requests and answers."""
