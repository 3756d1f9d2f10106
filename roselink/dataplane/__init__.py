"""The fleet gateway's data plane: client connections, requests, attempts at hosts, event streams.

`interfaces` defines what the data plane needs from the rest of the process. Requests are handled in
event loop callbacks; no task is created per event.
"""
