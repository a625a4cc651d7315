"""A gateway for opaque requests: online ones at once, items of jobs in free slots.

Unlike :mod:`caperridge.instance`, which parses prompts and uses the protocol of the
engines, this package forwards methods, paths, headers and bodies unchanged. An adapter
defines names and formats on the wire, see :mod:`caperridge.gateway.dialect`.
"""
