"""The internal protocol between roselink's processes.

`records` encodes typed messages as structs, `framing` cuts a stream into frames, and
`peer_connection`, `peer_server` and `peer_pool` carry the frames over TCP; of roselink these import
nothing but each other and the exceptions. The other modules hold the messages themselves, and may
import `roselink.model`.
"""
