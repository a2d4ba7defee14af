"""The production agent: connects the shared runtime to the platform's protocols. It makes no routing decisions.

It must not import the chat, store or lab packages, nor HCL, pydantic or rich: it runs on a fraction of a core with
32 to 192 MB of memory, few file descriptors and a read-only disk.
"""
