"""`python -m otterquay`: the command line."""

from otterquay.cli import main

if __name__ == "__main__":
    main()
