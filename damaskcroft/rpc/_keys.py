"""Mutual TLS between the system's own processes (RFC 8446, RFC 5280)."""

import dataclasses
import ssl

from damaskcroft._generated import settings_pb2

_ALPN = ["h2"]


class KeysError(Exception):
    """Keys are missing, unreadable or not clearly switched off."""


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """TLS contexts of one process; both None when it runs open."""

    server: ssl.SSLContext | None
    client: ssl.SSLContext | None


def load_keys(settings: settings_pb2.KeysSection) -> Keys:
    """Loads this process's certificate and the authority it trusts.

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
        raise KeysError("[keys] needs three files, or a plain open = yes")
    try:
        server = _context(ssl.Purpose.CLIENT_AUTH, settings)
        client = _context(ssl.Purpose.SERVER_AUTH, settings)
    except (OSError, ssl.SSLError) as error:
        raise KeysError(f"[keys] {error}") from error
    return Keys(server, client)


def _context(
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
