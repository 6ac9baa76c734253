"""Vocabulary of events: all kinds that a process may write, and their meaning.

The fields ``ticket``, ``request``, ``attempt`` and ``manifest`` identify the cause of
an event and have the same value in all processes that are involved.

``docs/OPERATIONS.md`` repeats the texts of all kinds, and a test compares them.
"""

from __future__ import annotations

from attrs import frozen

__all__ = ["CAUSE_FIELDS", "EVENT_KINDS", "EventKind"]

CAUSE_FIELDS = ("ticket", "request", "attempt", "manifest")


@frozen
class EventKind:
    """Description of one kind of event.

    Attributes
    ----------
    meaning : str
        What has happened.
    operator_action : str
        What an operator should do about it; empty if nothing is wrong.
    """

    meaning: str
    operator_action: str = ""


EVENT_KINDS: dict[str, EventKind] = {
    "attempt.final": EventKind("an agent finished an attempt with this outcome"),
    "attempt.orphaned": EventKind(
        "no entry reads an attempt any more, and the attempt was cancelled",
        "nothing for one; many mean that entries crash or are disconnected",
    ),
    "attempt.resumed": EventKind(
        "a connection broke or became unresponsive; a new one continues the attempt",
        "nothing for one; many mean a bad link between two VMs",
    ),
    "attempt.sent": EventKind("an entry sent an attempt of a request to a server"),
    "cancel.failed": EventKind(
        "an agent could not cancel an attempt at its engine",
        "check whether the engine responds; the attempt ends at its deadline",
    ),
    "claim.taken": EventKind("the table's verdict on a call that must not be repeated"),
    "claim.unrecorded": EventKind(
        "a call ran, and its response is not yet recorded in the table",
        "check the table service; until then a repeated call gets unknown",
    ),
    "claim.unsettled": EventKind(
        "the end of a claim could not be written yet",
        "check the table service; the write is retried",
    ),
    "connection.turned-away": EventKind(
        "connections exceeded the `limit` of memory, sockets, size, time or rate",
        "nothing for a few; many: find the client, or raise the limits of the VM",
    ),
    "drain.expired": EventKind(
        "an entry ended its `open` requests when its time to shut down was over",
        "many `open`: compare the grace period with the time limits of the routes",
    ),
    "engine.reverted": EventKind(
        "an engine serves an older ticket than it should and is ordered again",
        "find out who else orders this engine, or why it restarted",
    ),
    "keys.reread": EventKind("replaced key files are in use"),
    "keys.unusable": EventKind(
        "replaced key files are invalid; the previous ones stay in use",
        "install a certificate, key and authority that match each other",
    ),
    "loop.failed": EventKind(
        "a periodic step of a process failed and will be retried",
        "read why; the same failure on many VMs comes from the platform",
    ),
    "members.unavailable": EventKind(
        "the membership list cannot be read; the last known one stays in use",
        "check the platform; VMs that start now are not found",
    ),
    "order.lost": EventKind(
        "an engine's response to an order was lost; its state is read first",
        "nothing for one; if it continues, the engine is slow or restarts",
    ),
    "order.refused": EventKind(
        "an engine refused an order",
        "it has received a newer order: compare its ticket with the ticket list",
    ),
    "order.sent": EventKind("an agent ordered its engine to serve a version"),
    "retirement.failed": EventKind(
        "an agent could not order its engine to unload expired weights",
        "read why; the agent retries at once; many of one agent: check its engine",
    ),
    "weights.retired": EventKind(
        "an agent ordered its engine to unload expired weights"
    ),
    "weights.over": EventKind("remaining work of an engine on expired weights"),
    "part.quarantined": EventKind(
        "requests whose prompts have a part that crashes servers are refused from now",
        "find out who sends the part, and which engines' software fails on it",
    ),
    "part.released": EventKind(
        "a part of prompts is no longer quarantined: refuted, explained or expired"
    ),
    "process.leaving": EventKind(
        "a process shuts down gracefully and accepts no new work"
    ),
    "process.ready": EventKind("a process accepts connections"),
    "process.stopped": EventKind("a process has finished all work and terminates"),
    "reconcile.failed": EventKind(
        "an agent could not apply its ticket and will retry",
        "read why: origin, table or engine; no action is needed for the retry",
    ),
    "request.final": EventKind("an entry sent the outcome of a request to its caller"),
    "request.received": EventKind("an entry accepted a request of a caller"),
    "server.died": EventKind(
        "a backend server terminated or became unresponsive during a request",
        "check the server; a request that crashes servers is quarantined",
    ),
    "table.unavailable": EventKind(
        "the table service cannot be read or written",
        "see 'The table service is down' below",
    ),
    "ticket.accepted": EventKind("the ticket of an operator is stored in the table"),
    "ticket.seen": EventKind("a process learned of a newer ticket"),
    "transfer.begun": EventKind("an agent starts to fetch the weights of a ticket"),
    "transfer.corrupt": EventKind(
        "a chunk failed its digest check; it was dropped and its source is backed off",
        "repeatedly the same source: replace that VM, or check the origin",
    ),
    "transfer.verified": EventKind(
        "all chunks are stored and verified; bytes received from each source"
    ),
    "transfer.ended": EventKind("a transfer was completed or cancelled"),
    "version.dated": EventKind("a process learned the declaration time of a version"),
    "version.undated": EventKind(
        "a process learned of a version without its declaration time",
        "`version.dated` follows within a second; otherwise check the store",
    ),
    "dates.published": EventKind(
        "an entry wrote declaration times of versions to the store"
    ),
    "dates.unavailable": EventKind(
        "the declaration time of a version cannot be read or written",
        "check the store; versions older than that one are not served meanwhile",
    ),
    "parts.loaded": EventKind(
        "an entry read the quarantined prompt parts after its start; `ignored`: rows "
        "that have expired or are unreadable"
    ),
    "parts.published": EventKind(
        "an entry wrote quarantined prompt parts to the store"
    ),
    "parts.unavailable": EventKind(
        "quarantined prompt parts cannot be read from or written to the store",
        "check the store; a restart of all processes loses what is not written",
    ),
    "version.in-force": EventKind("an engine serves the version of its ticket"),
    "attempt.failed": EventKind(
        "a server rejected a request or sent no complete response",
        "nothing for one; many of one server: check that server",
    ),
    "attempt.replaced": EventKind(
        "another server started to respond, and the first attempt was cancelled",
        "nothing for one; many of one server: check that server",
    ),
    "configuration.in-force": EventKind("a process uses a newer configuration"),
    "configuration.unusable": EventKind(
        "a newer configuration is invalid; the previous one stays in use",
        "correct the field in the message and write the configuration again",
    ),
    "content.unreadable": EventKind(
        "a declaration from a peer is malformed and was ignored",
        "repeatedly the same peer: it is damaged or runs another release",
    ),
    "declaration.seen": EventKind(
        "a process learned of a newer configuration or version"
    ),
    "manifest.read": EventKind(
        "an agent has the digests of a version, from the origin or from peers"
    ),
    "manifest.unread": EventKind(
        "the origin returned no digests of a version; peers were queried",
        "nothing for a few; many: check the origin and its connection limit",
    ),
    "metrics.unavailable": EventKind(
        "the port for metrics is in use; metrics are not available",
        "find the process that listens on the port",
    ),
    "peer.silent": EventKind(
        "a peer did not respond and will be queried again later",
        "nothing for one; many: check the links of that VM",
    ),
    "reader.begun": EventKind("an entry watches the operators' table for its region"),
    "reader.ended": EventKind(
        "other entries are now the readers of the entry's region"
    ),
    "replacement.sought": EventKind(
        "another server is sought because the first is unresponsive or shuts down",
        "many with `way_silent`: the link to that data centre is saturated",
    ),
    "request.ended": EventKind("how a request ended, where it was sent, and why"),
    "row.unreadable": EventKind(
        "a row of another writer is malformed and was ignored",
        "find the process that writes it",
    ),
    "rows.heard": EventKind(
        "a peer reported rows before the store did",
        "check the connection of this process to the store",
    ),
    "server.gone": EventKind("a server was removed from the list"),
    "server.joined": EventKind("a server was added to the list"),
    "server.leaving": EventKind("a server is draining and receives no new requests"),
    "settings.reloaded": EventKind("changed settings are in use"),
    "settings.unusable": EventKind(
        "changed settings are invalid; the previous ones stay in use",
        "correct the field in the message",
    ),
    "staging.mended": EventKind(
        "staged chunks were corrupt or missing and were staged again",
        "repeatedly the same VM: replace it",
    ),
    "staging.taken-up": EventKind(
        "chunks that were already staged are offered to peers"
    ),
    "state.behind": EventKind(
        "an entry may lack a configuration that is due; `staleness`: since when",
        "nothing for one; many: check the store and the paths to it",
    ),
    "state.current": EventKind("an entry knows all declarations again"),
    "store.back": EventKind("the store responds to this process again"),
    "store.lost": EventKind(
        "the store does not respond; the process continues with its known state",
        "check the store and the network path from this VM to it",
    ),
    "store.slow": EventKind(
        "a call of the store took long; `outcome`: how it ended",
        "nothing for one; many: check the store and the links to it",
    ),
    "transfer.stalled": EventKind(
        "no data of the newest version for a second; an older one is fetched",
        "check whether the origin of weights responds",
    ),
    "transfer.superseded": EventKind(
        "the transfer of a superseded version was cancelled for the newest"
    ),
    "version.not-to-be-had": EventKind(
        "a manifest cannot be read; an older version is fetched meanwhile",
        "check whether the origin of weights responds",
    ),
    "watch.behind": EventKind(
        "a peer knows a newer row; the store is checked for it",
        "nothing for one; many: see `store.slow`",
    ),
    "watch.call-dropped": EventKind(
        "a held call to the store was made again, as a later check was answered first",
        "nothing for one; many: connections to the store become unresponsive",
    ),
    "watch.covered": EventKind("an entry relies on its region readers for a table"),
    "watch.history-lost": EventKind(
        "the store has discarded its history; the whole table is read"
    ),
    "watch.unconfirmed": EventKind(
        "the store does not respond to checks; a table may have changed",
        "check the store and the network path from this VM to it",
    ),
    "watch.uncovered": EventKind(
        "an entry watches a table itself; `age`: seconds since a reader's message",
        "nothing for one; many: check the readers' VMs and their paths to the store",
    ),
}
