"""HTTP/1.1 client and server connections on Twisted transports, parsed by httptools."""
