"""The protocol between nodes: IDL, generated code, server and client."""
