"""TLS between processes and towards callers, from key files that may be replaced."""

from __future__ import annotations

import ssl
from pathlib import Path

from attrs import define, field
from wasabideck_policy.outcomes import WasabideckError

from .settings import TlsSettings

__all__ = ["Keys", "KeysUnusable", "client_context"]

ALPN = ["h2"]


class KeysUnusable(WasabideckError):
    """Key files cannot be read, or do not belong together."""

    def __init__(self, files: TlsSettings, why: str):
        super().__init__(f"{files.certificate}, {files.authority}: {why}")
        self.certificate = files.certificate


@define
class Keys:
    """A process's TLS contexts, which go on while their files are replaced.

    Attributes
    ----------
    inner_server, inner_client : ssl.SSLContext
        The inner protocol: both ends show a certificate of the fleet's authority.
    http : ssl.SSLContext
        Towards callers and operators, who show a token instead.

    Raises
    ------
    KeysUnusable
        The files cannot be read, or do not belong together.
    """

    files: TlsSettings
    inner_server: ssl.SSLContext = field(init=False)
    inner_client: ssl.SSLContext = field(init=False)
    http: ssl.SSLContext = field(init=False)
    _seen: tuple = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Load the files."""
        self.inner_server = _inner(ssl.PROTOCOL_TLS_SERVER)
        self.inner_client = _inner(ssl.PROTOCOL_TLS_CLIENT)
        self.http = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.http.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load()
        self._seen = self._stamps()

    def refresh(self) -> bool:
        """Take replaced files in; whether there were any.

        Connections that are open go on. What an authority file no longer names is
        trusted until the process ends.

        Raises
        ------
        KeysUnusable
            The new files are wrong; the former keys stay in use.
        """
        stamps = self._stamps()
        if stamps == self._seen:
            return False
        # Remembered first, so that wrong files are reported once and not for ever.
        self._seen = stamps
        self._load()
        return True

    def _load(self) -> None:
        try:
            # A certificate may be replaced a moment before its key: the pair is
            # tried apart, because a context that took half of it would refuse
            # every handshake.
            self._load_into(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            for context in (self.inner_server, self.inner_client, self.http):
                self._load_into(context)
        except (OSError, ValueError) as exc:
            raise KeysUnusable(self.files, str(exc)) from exc

    def _load_into(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self.files.certificate, self.files.key)
        context.load_verify_locations(self.files.authority)

    def _stamps(self) -> tuple:
        files = self.files
        return tuple(_stamp(f) for f in (files.certificate, files.key, files.authority))


def client_context(authority: str) -> ssl.SSLContext:
    """Context of an operator's client; the entry's name or number is checked.

    Raises
    ------
    OSError
        The authority's file cannot be read.
    """
    return ssl.create_default_context(cafile=authority or None)


def _inner(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # VMs are replaced at any time and reach each other by number, so no name is
    # compared. The guard is the fleet's own authority, which both ends ask for: it
    # signs the system's processes and nothing else.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(ALPN)
    return context


def _stamp(file: str) -> tuple[int, int, int] | None:
    try:
        found = Path(file).stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
