"""HTTP, JSON and thrift encodings of the tier's messages."""
