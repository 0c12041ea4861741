"""corianderport_tier.version.addresses

Checks addresses of searchers and hosts.
"""

import ipaddress
import re

__all__ = ['MAX_PORT', 'is_address']

MAX_PORT = 65_535
_PORT = re.compile('[0-9]{1,5}')


def is_address(text: str) -> bool:
    """Whether a text is ``ip:port``, with brackets around an IPv6 address."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return bool(_PORT.fullmatch(port)) and 1 <= int(port) <= MAX_PORT
