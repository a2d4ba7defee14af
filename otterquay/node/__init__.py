"""The agent in service: the platform's protocol as ports of the same runtime. It decides nothing.

It imports no chat, store, laboratory, HCL, pydantic or rich: it has part of a core, 32 to 192 MB, few descriptors,
and a disk that it cannot write.
"""
