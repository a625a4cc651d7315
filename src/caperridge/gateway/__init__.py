"""Serves opaque requests by routes: online ones at once, items of jobs in the gaps.

Unlike :mod:`caperridge.instance`, which reads prompts and speaks the engines' own
dialect, this room passes methods, paths, headers and bodies on as they came. What the
wire calls things is told to it by an adapter, see :mod:`caperridge.gateway.dialect`.
"""
