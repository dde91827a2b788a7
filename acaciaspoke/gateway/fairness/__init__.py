"""Fair shares of the capacity among workspaces, and the order of requests.

In go the requests that wait and run at this host and the tokens that other
hosts report by workspace; out come the order in which requests are served,
which of them are beyond the share of their workspace, and when the callers of
refused ones should retry. Without workspaces in the configuration nothing here
takes effect.
"""
