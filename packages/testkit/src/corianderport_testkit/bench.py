"""corianderport_testkit.bench

The load and experiment tool.
"""

__all__ = ['main']


def main() -> None:
    """Run the experiments; none is registered yet."""
    print('no experiment is registered')


if __name__ == '__main__':
    main()
