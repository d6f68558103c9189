"""Mutual TLS between the processes of the system (RFC 8446, RFC 5280)."""

import dataclasses
import ssl

from damaskcroft._generated import settings_pb2

_ALPN = ["h2"]


class KeysError(Exception):
    """Keys are missing or unreadable, and `open` is not set."""


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """TLS contexts of one process; both None if it runs without TLS."""

    server: ssl.SSLContext | None
    client: ssl.SSLContext | None


def load_keys(settings: settings_pb2.KeysSection) -> Keys:
    """Loads the certificate of this process and its trusted authority.

    Raises:
        KeysError: files are missing or unreadable and `open` is not set.
    """
    files = (
        settings.certificate_file,
        settings.private_key_file,
        settings.authority_file,
    )
    if settings.open:
        return Keys(None, None)
    if not all(files):
        raise KeysError(
            "[keys] needs certificate_file, private_key_file and"
            " authority_file, or open = yes"
        )
    try:
        server = _make_context(ssl.Purpose.CLIENT_AUTH, settings)
        client = _make_context(ssl.Purpose.SERVER_AUTH, settings)
    except (OSError, ssl.SSLError) as error:
        raise KeysError(f"[keys] {error}") from error
    return Keys(server, client)


def _make_context(
    purpose: ssl.Purpose, settings: settings_pb2.KeysSection
) -> ssl.SSLContext:
    context = ssl.create_default_context(
        purpose, cafile=settings.authority_file
    )
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(
        settings.certificate_file, settings.private_key_file
    )
    context.set_alpn_protocols(_ALPN)
    return context
