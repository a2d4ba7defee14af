"""Subprocess that syncs a store's files: reads one file name per line, answers with an error number, 0 for success.

An empty line syncs the folder. The process ends at the end of its input. It uses the standard library only, as it
is started without site packages.
"""

import contextlib
import os
import sys


def is_replaced(descriptor: int, path: str) -> bool:
    """Whether another file has the path by now; one that was only removed is not replaced. OSError."""
    try:
        named = os.stat(path)
    except FileNotFoundError:
        return False
    return not os.path.samestat(named, os.fstat(descriptor))


def main(folder: str) -> None:
    """Answer requests until the end of the input."""
    files: dict[str, int] = {}
    for line in sys.stdin:
        name = line.rstrip("\n")
        path = os.path.join(folder, name)
        try:
            if name in files and is_replaced(files[name], path):
                os.close(files.pop(name))
            if name not in files:
                files[name] = os.open(path, os.O_RDONLY)
            if name:
                os.fdatasync(files[name])
            else:
                os.fsync(files[name])
            code = 0
        except OSError as error:
            code = error.errno or 5  # EIO
        print(code, flush=True)
        while len(files) > 8:  # the oldest are closed segments
            os.close(files.pop(next(iter(files))))


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError, KeyboardInterrupt):  # the store's process was killed
        main(sys.argv[1])
    os._exit(0)  # does not flush to a closed pipe
