"""The process beside a store that syncs its files: a name a line in, an error number a line out, 0 for done.

An empty line syncs the folder. It ends with its input. Standard library alone, as it is started without packages.
"""

import contextlib
import os
import sys


def main(folder: str) -> None:
    """Serve until the input ends."""
    files: dict[str, int] = {}
    for line in sys.stdin:
        name = line.rstrip("\n")
        try:
            if name not in files:
                files[name] = os.open(os.path.join(folder, name), os.O_RDONLY)
            if name:
                os.fdatasync(files[name])
            else:
                os.fsync(files[name])
            code = 0
        except OSError as error:
            code = error.errno or 5
        print(code, flush=True)
        while len(files) > 8:  # the oldest are closed segments
            os.close(files.pop(next(iter(files))))


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError, KeyboardInterrupt):  # the store's process was killed
        main(sys.argv[1])
    os._exit(0)  # without flushing to a pipe that is gone
