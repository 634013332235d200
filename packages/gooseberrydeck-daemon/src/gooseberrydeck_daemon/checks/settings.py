"""Checks of a settings file."""

import ipaddress
from collections.abc import Iterator
from pathlib import Path

import msgspec
import zmq

from gooseberrydeck_coordination.decoding import DecodingError, decode_document
from gooseberrydeck_daemon.checks.messages import CheckMessage
from gooseberrydeck_daemon.checks.structure import find_structure_problems
from gooseberrydeck_daemon.checks.timing import find_timing_problems
from gooseberrydeck_daemon.settings import PeerSettings, Settings
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["check_settings"]

CURVE_KEY_CHARACTERS = 40


def check_settings(path: Path) -> tuple[list[CheckMessage], object]:
    """Return the sorted problems of a settings file, and its decoded JSON.

    Values are checked only if the file has the expected structure.
    """
    try:
        raw = decode_document(path.read_bytes())
    except OSError as error:
        hint = "Name a file that this user may read."
        return [CheckMessage("$", "settings.E001", str(error), hint)], None
    except DecodingError as error:
        hint = "Write one JSON object, in UTF-8."
        return [CheckMessage("$", "settings.E001", str(error), hint)], None
    problems = list(find_structure_problems(raw, Settings))
    if not problems:
        problems = list(find_semantic_problems(msgspec.convert(raw, Settings)))
    return sorted(problems), raw


def find_semantic_problems(settings: Settings) -> Iterator[CheckMessage]:
    """Yield problems of values that have the expected types."""
    yield from check_address("$.address", settings.address)
    for index, peer in enumerate(settings.peers.initial):
        yield from check_address(f"$.peers.initial[{index}].address", peer.address)
    yield from check_listeners(settings)
    yield from check_platform_addresses(settings)
    yield from check_keys(settings.peers)
    yield from check_initial_peers(settings)
    yield from find_timing_problems(settings.timing)


def check_address(path: str, address: str) -> Iterator[CheckMessage]:
    """Yield a problem unless ``address`` is an IP address."""
    try:
        ipaddress.ip_address(address)
    except ValueError:
        hint = "Members reach each other by IP numbers, such as 10.0.3.7."
        text = f"{address!r} is not an IP number"
        yield CheckMessage(path, "settings.E005", text, hint)


def check_listeners(settings: Settings) -> Iterator[CheckMessage]:
    """Yield duplicate ports, and too many refusing threads for callers."""
    listeners = settings.listeners
    taken: dict[int, str] = {}
    for name in ("callers", "operators", "peers"):
        port = getattr(listeners, name).port
        if port and port in taken:
            text = f"port {port} is also that of {taken[port]}"
            hint = "Give each listener a port of its own."
            yield CheckMessage(f"$.listeners.{name}.port", "settings.E006", text, hint)
        taken[port] = name
    if listeners.callers.refusing_threads >= listeners.callers.threads:
        yield CheckMessage(
            "$.listeners.callers.refusing_threads",
            "settings.E007",
            "no thread is left to serve",
            "Keep refusing_threads well below threads.",
        )


def check_platform_addresses(settings: Settings) -> Iterator[CheckMessage]:
    """Yield missing or malformed addresses of the store and the list of hosts."""
    if not settings.store.addresses:
        hint = "Name at least one address of the store, such as 10.0.3.2:2379."
        text = "no address of the store"
        yield CheckMessage("$.store.addresses", "settings.E008", text, hint)
    addresses = [
        (f"$.store.addresses[{index}]", address)
        for index, address in enumerate(settings.store.addresses)
    ]
    addresses.append(("$.host_list.address", settings.host_list.address))
    for path, address in addresses:
        try:
            HttpAddress.parse(address)
        except ValueError as error:
            hint = "Write it as ADDRESS:PORT."
            yield CheckMessage(path, "settings.E009", str(error), hint)


def check_keys(peers: PeerSettings) -> Iterator[CheckMessage]:
    """Yield the first problem that is found in the CURVE keys."""
    if bool(peers.secret_key) == bool(peers.secret_key_file):
        yield CheckMessage(
            "$.peers.secret_key",
            "settings.E010",
            "give exactly one of secret_key and secret_key_file",
            "Prefer secret_key_file, readable by the daemon's user only.",
        )
        return
    try:
        secret = peers.read_secret_key()
    except OSError as error:
        hint = "Name a file that the daemon's user may read."
        yield CheckMessage("$.peers.secret_key_file", "settings.E011", str(error), hint)
        return
    hint = "Make a pair with `gooseberryd make-peer-keys`."
    for path, key in [
        ("$.peers.public_key", peers.public_key),
        ("$.peers.secret_key", secret),
        *(
            (f"$.peers.accepted_public_keys[{index}]", key)
            for index, key in enumerate(peers.accepted_public_keys)
        ),
    ]:
        if not is_curve_key(key):
            text = f"not a CURVE key of {CURVE_KEY_CHARACTERS} characters"
            yield CheckMessage(path, "settings.E012", text, hint)
            return
    if zmq.curve_public(secret.encode()) != peers.public_key.encode():
        text = "the public key is not that of the secret key"
        yield CheckMessage("$.peers.public_key", "settings.E013", text, hint)


def is_curve_key(key: str) -> bool:
    """Return True if ``key`` is a CURVE key in Z85 encoding."""
    if len(key) != CURVE_KEY_CHARACTERS:
        return False
    try:
        zmq.curve_public(key.encode())
    except (zmq.ZMQError, ValueError, UnicodeEncodeError):
        return False
    return True


def check_initial_peers(settings: Settings) -> Iterator[CheckMessage]:
    """Yield a problem for each peer that is listed more than once."""
    seen = set()
    for index, peer in enumerate(settings.peers.initial):
        if peer.member in seen:
            text = f"peer {peer.member!r} is named twice"
            hint = "Name each member once."
            path = f"$.peers.initial[{index}].member"
            yield CheckMessage(path, "settings.E014", text, hint)
        seen.add(peer.member)
