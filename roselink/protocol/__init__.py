"""The internal protocol between roselink's processes: struct records, framing, and connections to
peers.

`records` packs typed messages and `peers` carries them over TCP; these two import nothing else of
roselink. The other modules hold the messages themselves, and may import `roselink.model`.
"""
