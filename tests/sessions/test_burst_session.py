"""Golden file of a burst at three times capacity, with fixed times and a fixed seed.

The decision functions are the real ones; clocks, engines and links are small fakes.
"""

import heapq
import random
from collections import Counter
from itertools import count

from wasabideck_lab.load_workload import DEPLOYMENTS, draw_arrivals
from wasabideck_policy.admission import AdmissionControl, admit, timeout_refusal
from wasabideck_policy.cache_affinity import prefix_digest
from wasabideck_policy.fair_queue import WaitingRequest
from wasabideck_policy.load_balancing import RoutingRequest, ServerState, choose_by_cost

SECONDS = 20.0
REPORT_SECONDS = 0.5
SERVICE_SECONDS = 1.3
CAPACITY = 8


class Session:
    """Discrete-event simulation of two entries and six servers."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        vms = [f"draft-{i}" for i in range(6)]
        self.admissions = {
            vm: AdmissionControl(CAPACITY, SERVICE_SECONDS, accepting=True)
            for vm in vms
        }
        self.views = [
            [ServerState(vm, "drafting", "", "here") for vm in vms] for _ in range(2)
        ]
        self.outcomes = {}
        self.arrival_of = {}
        self.sent_to = {}
        self._events = []
        self._order = count()

    def schedule(self, due_at, callback, *args):
        heapq.heappush(self._events, (due_at, next(self._order), callback, args))

    def run(self):
        while self._events:
            now, _, callback, args = heapq.heappop(self._events)
            callback(now, *args)

    def report(self, now):
        for view in self.views:
            for server in view:
                admission = self.admissions[server.vm]
                server.reported = admission.running + len(admission.queue)
                server.own_reported = server.in_progress
                server.heard_at = now
        if now < SECONDS:
            self.schedule(now + REPORT_SECONDS, self.report)

    def arrive(self, now, arrival):
        routing_request = RoutingRequest(prefix_digest(arrival.body.encode()), "here")
        view = self.views[arrival.region % 2]
        server = choose_by_cost(view, routing_request, now, self.rng)
        admission = self.admissions[server.vm]
        kind = arrival.kind
        waiting = WaitingRequest(
            arrival.organisation, kind.priority, now, now + kind.deadline_seconds
        )
        self.arrival_of[waiting] = arrival
        if refusal := admit(admission, waiting, now):
            self.outcomes[waiting] = ("refused at once", refusal.retry_after > 0)
            return
        admission.queue.add(waiting)
        self.sent_to[waiting] = server
        server.in_progress += 1
        self.begin(now, admission)

    def begin(self, now, admission):
        for waiting in admission.queue.expired(now, admission.service_seconds):
            admission.queue.remove(waiting)
            self.sent_to[waiting].in_progress -= 1
            retry_after = timeout_refusal(admission, waiting, now).retry_after
            self.outcomes[waiting] = ("refused later", retry_after > 0)
        while waiting := admission.start_next(now):
            seconds = SERVICE_SECONDS * self.rng.uniform(0.8, 1.2)
            self.schedule(now + seconds, self.end, admission, waiting, seconds)

    def end(self, now, admission, waiting, seconds):
        admission.release_slot(seconds)
        self.sent_to[waiting].in_progress -= 1
        in_time = now <= waiting.deadline
        self.outcomes[waiting] = ("answered" if in_time else "answered late", True)
        self.begin(now, admission)


def test_burst(data_regression):
    session = Session(seed=1)
    session.schedule(0.0, session.report)
    for arrival in draw_arrivals(DEPLOYMENTS["rent"], 3.0, SECONDS, random.Random(1)):
        if arrival.kind.service == "drafting":
            session.schedule(arrival.due_seconds, session.arrive, arrival)
    session.run()
    assert len(session.outcomes) == len(session.arrival_of)
    assert all(valid for _, valid in session.outcomes.values())
    data_regression.check(_count_outcomes(session))


def _count_outcomes(session):
    counts_by_name = {}
    for group in (lambda a: a.kind.route, lambda a: a.organisation):
        for waiting, (outcome, _) in session.outcomes.items():
            name = group(session.arrival_of[waiting])
            counts_by_name.setdefault(name, Counter())[outcome] += 1
    return {name: dict(counts) for name, counts in counts_by_name.items()}
