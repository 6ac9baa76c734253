"""TLS contexts between processes and for callers, with reloadable key files."""

from __future__ import annotations

import ssl
from pathlib import Path

from attrs import define, field
from wasabideck_policy.outcomes import WasabideckError

from .settings import TlsSettings

__all__ = ["TlsContexts", "KeysUnusable", "operator_client_context"]

ALPN = ["h2"]


class KeysUnusable(WasabideckError):
    """Key files cannot be read or do not match each other."""

    def __init__(self, files: TlsSettings, why: str):
        super().__init__(f"{files.certificate}, {files.authority}: {why}")
        self.certificate = files.certificate


@define
class TlsContexts:
    """TLS contexts of a process, which stay in use while their files are replaced.

    Attributes
    ----------
    inner_server, inner_client : ssl.SSLContext
        Contexts of the inner protocol: both ends present a certificate of the
        fleet's authority.
    caller_server : ssl.SSLContext
        Context for callers and operators, who present a token instead.

    Raises
    ------
    KeysUnusable
        The files cannot be read or do not match each other.
    """

    files: TlsSettings
    inner_server: ssl.SSLContext = field(init=False)
    inner_client: ssl.SSLContext = field(init=False)
    caller_server: ssl.SSLContext = field(init=False)
    _loaded_file_states: tuple = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Load the files."""
        self.inner_server = _inner_context(ssl.PROTOCOL_TLS_SERVER)
        self.inner_client = _inner_context(ssl.PROTOCOL_TLS_CLIENT)
        self.caller_server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.caller_server.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load()
        self._loaded_file_states = self._file_states()

    def reload_if_changed(self) -> bool:
        """Reload key files that have been replaced; return whether there were any.

        Open connections stay open. Authorities that have been removed from the
        authority file remain trusted until the process ends.

        Raises
        ------
        KeysUnusable
            The new files are invalid; the previous keys stay in use.
        """
        file_states = self._file_states()
        if file_states == self._loaded_file_states:
            return False
        # Recorded before loading, so that invalid files are reported only once.
        self._loaded_file_states = file_states
        self._load()
        return True

    def _load(self) -> None:
        try:
            # A certificate may be replaced shortly before its key. The pair is first
            # loaded into a separate context, because a context with a certificate and
            # a key that do not match would fail every handshake.
            self._load_into(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            for context in (self.inner_server, self.inner_client, self.caller_server):
                self._load_into(context)
        except (OSError, ValueError) as exc:
            raise KeysUnusable(self.files, str(exc)) from exc

    def _load_into(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self.files.certificate, self.files.key)
        context.load_verify_locations(self.files.authority)

    def _file_states(self) -> tuple:
        files = self.files
        return tuple(
            _file_state(f) for f in (files.certificate, files.key, files.authority)
        )


def operator_client_context(authority: str) -> ssl.SSLContext:
    """Return the context of an operator's client; it verifies the entry's host.

    Raises
    ------
    OSError
        The authority file cannot be read.
    """
    return ssl.create_default_context(cafile=authority or None)


def _inner_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # VMs may be replaced at any time and connect to each other by IP address, so host
    # names are not verified. Instead both ends require a certificate of the fleet's own
    # authority, which signs certificates only for the system's processes.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(ALPN)
    return context


def _file_state(file: str) -> tuple[int, int, int] | None:
    try:
        stat = Path(file).stat()
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino
