"""The internal protocol between roselink's processes.

`records` encodes typed messages as structs, `framing` splits a byte stream into frames, and
`peer_connection`, `peer_server` and `peer_pool` transfer the frames over TCP. Of roselink, these
modules import only each other and the exceptions. The other modules define the messages, and may
import `roselink.model`.
"""
