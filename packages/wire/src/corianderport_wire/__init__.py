"""HTTP, JSON and Thrift encodings of the messages of the tier."""
