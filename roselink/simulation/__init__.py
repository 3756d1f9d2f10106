"""The coordination library and the pull service on made-up machines, from one seed. No program
imports it.

`world` holds machines, links and time, `disk` a folder that loses what was not synced, `clients`
and `gateways` those who call, `history` the judge of what they were told, `days` the troubles,
`search` every order of a few steps, `command` the command line.
"""
