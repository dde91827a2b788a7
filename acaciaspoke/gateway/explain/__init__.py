"""Explains where a request would go now, without sending it.

In go the host, path and headers of a request, and the state of the dispatcher;
out comes a document with the decision and its figures. Nothing changes.
"""
