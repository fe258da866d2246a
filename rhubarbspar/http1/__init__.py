"""HTTP/1.1 connections of both sides on Twisted transports, parsed by httptools."""
