"""Vocabulary of events: all kinds that a process may write, and their meaning.

The fields ``ticket``, ``request``, ``attempt`` and ``manifest`` identify the cause of
an event and have the same value in all processes that are involved.

``docs/OPERATIONS.md`` repeats the texts of all kinds, and a test compares them.
"""

from __future__ import annotations

from attrs import frozen

__all__ = ["CAUSES", "KINDS", "Kind"]

CAUSES = ("ticket", "request", "attempt", "manifest")


@frozen
class Kind:
    """Description of one kind of event.

    Attributes
    ----------
    meaning : str
        What has happened.
    todo : str
        What an operator should do about it; empty if nothing is wrong.
    """

    meaning: str
    todo: str = ""


KINDS: dict[str, Kind] = {
    "attempt.final": Kind("an agent ended an attempt, with this outcome"),
    "attempt.orphaned": Kind(
        "no entry reads an attempt any more, and it was given up",
        "nothing for one; many mean that entries die or are cut off",
    ),
    "attempt.resumed": Kind(
        "a connection broke or went silent, and another one goes on",
        "nothing for one; many mean a bad link between two VMs",
    ),
    "attempt.sent": Kind("an entry sent a try of a request to a server"),
    "cancel.failed": Kind(
        "an engine could not be told to stop an attempt",
        "see whether the engine answers; the attempt ends at its deadline",
    ),
    "claim.taken": Kind("the table's verdict on a call that may not be repeated"),
    "claim.unrecorded": Kind(
        "a call ran, and its answer is not yet in the table",
        "see the table service; a repeat meanwhile is answered unknown",
    ),
    "claim.unsettled": Kind(
        "a claim's end could not be written yet",
        "see the table service; it is tried again",
    ),
    "engine.reverted": Kind(
        "an engine serves less than its ticket and is ordered again",
        "find who else orders this engine, or why it restarted",
    ),
    "keys.reread": Kind("replaced key files are in use"),
    "keys.unusable": Kind(
        "replaced key files are wrong; the former ones stay in use",
        "put certificate, key and authority that belong together in place",
    ),
    "loop.failed": Kind(
        "a repeated step of a process failed, and is tried again",
        "read why; the same one on many VMs is the platform's answer to all",
    ),
    "members.unavailable": Kind(
        "the membership list cannot be read; the last one stays in use",
        "see the platform; VMs that start now are not found",
    ),
    "order.lost": Kind(
        "an engine's answer to an order was lost; it is read back first",
        "nothing for one; the engine is slow or restarts when it goes on",
    ),
    "order.refused": Kind(
        "an engine refused an order",
        "a newer order reached it: compare its ticket with the ticket list",
    ),
    "order.sent": Kind("an agent ordered its engine to serve a version"),
    "retirement.failed": Kind(
        "an agent could not order weights whose time is over out of its engine",
        "read why; it tries again at once; many of one agent: see its engine",
    ),
    "weights.retired": Kind("an agent ordered weights out whose time is over"),
    "weights.over": Kind("what an engine has on weights whose time is over"),
    "process.leaving": Kind("a process stops gracefully and takes no new work"),
    "process.ready": Kind("a process listens"),
    "process.stopped": Kind("a process has finished everything and ends"),
    "reconcile.failed": Kind(
        "a VM could not be brought to its ticket, and tries again",
        "read why: origin, table or engine; it goes on by itself",
    ),
    "request.final": Kind("an entry told a caller the outcome of a request"),
    "request.received": Kind("an entry took a caller's request"),
    "server.died": Kind(
        "a backend server died or went silent with a request on it",
        "see the server; a request that crashes servers is quarantined",
    ),
    "table.unavailable": Kind(
        "the table service cannot be read or written",
        "see 'The table service is down' below",
    ),
    "ticket.accepted": Kind("an operator's ticket stands in the table"),
    "ticket.seen": Kind("a process heard of a newer ticket"),
    "transfer.begun": Kind("an agent begins to fetch a ticket's weights"),
    "transfer.corrupt": Kind(
        "a chunk's bytes were wrong; it was dropped and its source set back",
        "one source again and again: replace that VM, or check the origin",
    ),
    "transfer.verified": Kind("all chunks are held and verified, from these sources"),
    "transfer.ended": Kind("a transfer has ended, whole or given up"),
    "version.dated": Kind("a process learned when a version had been named"),
    "version.undated": Kind(
        "a process heard of a version and not when it was named",
        "`version.dated` follows within a second; without it, see the store",
    ),
    "dates.published": Kind("an entry wrote to the store when versions were named"),
    "dates.unavailable": Kind(
        "the dates of versions cannot be read or written",
        "see the store; nothing older than an undated version is served meanwhile",
    ),
    "version.in-force": Kind("an engine serves what its ticket names"),
    "attempt.failed": Kind(
        "a server did not take a request, or gave no whole answer",
        "nothing for one; many of one server: see that server",
    ),
    "attempt.replaced": Kind(
        "another server has begun to answer, and the first one was left",
        "nothing for one; many of one server: see that server",
    ),
    "configuration.in-force": Kind("a process uses a newer configuration"),
    "configuration.unusable": Kind(
        "a newer configuration cannot be read; the former one stays",
        "mend the field that it names and write it again",
    ),
    "content.unreadable": Kind(
        "a peer told a declaration whose content cannot be read; it was passed over",
        "the same peer again and again: it is damaged or of another release",
    ),
    "declaration.seen": Kind("a process heard of a newer configuration or version"),
    "manifest.read": Kind(
        "an agent has a version's digests, from the origin or from peers"
    ),
    "manifest.unread": Kind(
        "the origin gave no digests of a version; peers were asked",
        "nothing for a few; many: see the origin and how many connections it takes",
    ),
    "metrics.unavailable": Kind(
        "the metrics' port is taken; there are no metrics",
        "find who else listens there",
    ),
    "peer.silent": Kind(
        "a peer did not answer and is asked later again",
        "nothing for one; many: see that VM's links",
    ),
    "reader.begun": Kind("an entry follows the operators' table for its region"),
    "reader.ended": Kind("others are the readers of an entry's region"),
    "replacement.sought": Kind(
        "another server is looked for beside one that is silent or stops",
        "many with `way_silent`: the link to that data centre is full",
    ),
    "request.ended": Kind("how a request ended, where it was sent, and why"),
    "row.unreadable": Kind(
        "another writer's row cannot be read and was passed over",
        "find who writes it",
    ),
    "rows.heard": Kind(
        "a peer told of servers before the store did",
        "see the store, as this process hears it",
    ),
    "server.gone": Kind("a server is not listed any more"),
    "server.joined": Kind("a server is listed"),
    "server.leaving": Kind("a server gets no new requests any more"),
    "settings.reloaded": Kind("changed settings are in use"),
    "settings.unusable": Kind(
        "changed settings cannot be read; the former ones stay in use",
        "mend the field that it names",
    ),
    "staging.mended": Kind(
        "staged pieces were wrong or missing and were put anew",
        "the same VM again and again: replace it",
    ),
    "staging.taken-up": Kind("pieces that lay staged already were taken for peers"),
    "store.back": Kind("the store answers this process again"),
    "store.lost": Kind(
        "the store does not answer; a process goes on with what it knows",
        "see the store, and this VM's path to it",
    ),
    "transfer.stalled": Kind(
        "nothing of the newest version came for a second; an older one goes on",
        "see whether the origin of weights answers",
    ),
    "transfer.superseded": Kind("an overtaken version was dropped for the newest"),
    "version.not-to-be-had": Kind(
        "a manifest cannot be read; an older version is fetched meanwhile",
        "see whether the origin of weights answers",
    ),
    "watch.behind": Kind(
        "a peer knows a newer row; the silent call was broken off",
        "nothing for one; many: connections to the store go silent",
    ),
    "watch.covered": Kind("an entry relies on its region's readers for a table"),
    "watch.history-lost": Kind("the store forgot its history; the table is read whole"),
    "watch.uncovered": Kind(
        "an entry follows a table itself again, so long after a reader's last word",
        "nothing for one; many: see the readers' VMs and their paths to the store",
    ),
}
