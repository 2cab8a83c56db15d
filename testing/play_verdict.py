"""Compares what callers and targets recorded in a play of real processes.

    verdict = judge(fleet)
    verdict.broken   # lines, one for each broken promise
    verdict.counts   # a Counter of how requests and processes ended

A request that was read and has no answer breaks a promise unless its process was killed, its time
was over, or its target was at work in the last sixth of the grace.
"""
import collections
import dataclasses

from play_fleet import GRACE_S, MEMORY_MB

LOSS_SLACK_S = 0.2
TAIL_S = GRACE_S / 6
LATE_SENT_S = 3.0
BUDGET_SLACK_S = 0.25
EVACUATION_S = 5.0  # from the store's acknowledgement until an evacuation is in force
NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass
class Verdict:
    """What was counted, and what was broken."""
    counts: collections.Counter
    broken: list


def is_stopping(boot, moment):
    return boot is not None and boot.terminated is not None and moment >= boot.terminated


def in_tail(boot, request, arrivals):
    """Whether the target was at work in the last sixth of the grace of `boot`."""
    if boot is None or boot.terminated is None:
        return False
    tail = boot.terminated + GRACE_S - TAIL_S
    return request.begun <= boot.terminated + LATE_SENT_S and any(
        a.began is not None and min(x for x in (a.answered, a.broken_off, request.ended)
                                    if x is not None) >= tail for a in arrivals)


def unanswered(fleet, request, arrivals):
    """Why a request has no answer: a word that starts with "lost" if a promise was broken."""
    if request.sent is None or request.sent > request.ended:
        return "cut: not sent whole"
    boot = request.node.boot_at(request.begun)
    if boot.killed is not None and request.ended >= boot.killed:
        return "cut: entry killed"
    if request.ended - request.begun >= request.deadline_ms / 1000 - BUDGET_SLACK_S:
        return "cut: budget over"
    owners = [fleet.nodes[a.target - 1].boot_at(a.arrived) for a in arrivals]
    if any(b.killed is not None and request.ended >= b.killed for b in owners):
        return "cut: owner killed"
    if in_tail(boot, request, arrivals):
        return "cut: last sixth of the grace"
    if not arrivals:
        if request.behind:
            return "cut: behind another"
        if request.ended - request.sent <= LOSS_SLACK_S + fleet.max_lag_s:
            return "cut: crossed the close"
        return "lost: read, not passed on"
    phase = "entry stopping" if is_stopping(boot, request.ended) else \
        "owner stopping" if any(is_stopping(b, request.ended) for b in owners) else "calm"
    return f"lost: passed on, {phase}"


def describe(request, arrivals, epoch):
    at = [f"{moment - epoch:.3f}" if moment else "-" for moment in
          (request.begun, request.sent, request.ended)]
    ran = "; ".join(f"target {a.target} arrived {a.arrived - epoch:.3f}"
                    + "".join(f" {name} {value - epoch:.3f}" for name, value in
                              (("began", a.began), ("answered", a.answered),
                               ("broken off", a.broken_off)) if value is not None)
                    for a in arrivals)
    return (f"{request.identity} {request.kind} at {request.node.name}: begun {at[0]} sent {at[1]} "
            f"ended {at[2]} ({request.how or request.status}), work {request.work_ms} ms, "
            f"deadline {request.deadline_ms} ms, behind {request.behind}, "
            f"partial {request.partial}; {ran or 'no target'}")


def judge_request(fleet, request, arrivals, epoch, verdict):
    runs = [a for a in arrivals if a.began is not None]
    text = describe(request, arrivals, epoch)
    found = []
    if request.status is None:
        word = unanswered(fleet, request, arrivals)
        verdict.counts[word] += 1
        if word.startswith("lost"):
            found.append(word)
    else:
        verdict.counts[f"answered {request.status}"] += 1
        expected = f" {request.identity} {request.body} ".encode()
        if request.status == 200 and (not request.has_seal or expected not in request.answer):
            found.append("mixed: not the answer to this request")
        if request.kind != "safe" and request.status in NOT_RUN and runs:
            found.append(f"refused: {request.status}, and has run")
        boot = request.node.boot_at(request.begun)
        if (not request.has_seal and is_stopping(boot, request.ended)
                and request.status not in NOT_RUN
                and request.ended - request.begun < request.deadline_ms / 1000 - BUDGET_SLACK_S
                and any(a.broken_off and not fleet.nodes[a.target - 1].boot_at(a.began).killed
                        for a in runs) and not in_tail(boot, request, arrivals)):
            found.append(f"lost: broken off with {request.status}")
    if request.kind != "safe" and len(runs) > 1:
        found.append("twice")
    if any(a.body != request.body for a in arrivals):
        found.append("unasked: other body")
    verdict.broken += [f"{word}: {text}" for word in found]


def judge_boot(node, boot, epoch, verdict):
    code = boot.process.returncode
    text = f"{node.name} {boot.log.name}: exit {code}"
    if boot.exited is not None:
        text += f" at {boot.exited - epoch:.3f}"
    if boot.terminated is not None:
        text += f", SIGTERM at {boot.terminated - epoch:.3f}"
    if boot.peak_kb > MEMORY_MB * 1024:
        verdict.broken.append(f"fault: peak of {boot.peak_kb} KiB: {text}")
    if boot.killed is not None and boot.terminated is not None:
        verdict.counts["exit: killed after the grace"] += 1
        verdict.broken.append(f"late: still there after the grace: {text}")
    elif boot.killed is not None:
        verdict.counts["exit: killed"] += 1
    elif boot.terminated is not None and code == 0:
        verdict.counts["exit: asked"] += 1
    else:
        verdict.counts[f"exit: code {code}"] += 1
        verdict.broken.append(f"fault: ended by itself: {text}")


def judge_evacuation(fleet, evacuation, epoch, verdict):
    """Counts the requests that reach a target of the zone while its evacuation is in force."""
    zone, requested, withdrawn = evacuation
    begin = requested + EVACUATION_S + fleet.max_lag_s
    end = withdrawn or float("inf")
    verdict.counts["evacuations"] += 1
    if end > begin:
        verdict.counts["evacuations that outlast the bound"] += 1
    targets = {node.number for node in fleet.nodes if node.zone == zone}
    for identity, arrivals in fleet.records.items():
        verdict.broken += [f"evacuated: {identity} arrived {a.arrived - epoch:.3f} at target "
                           f"{a.target} of {zone}, evacuated at {requested - epoch:.3f}"
                           for a in arrivals if a.target in targets and begin < a.arrived < end]


def judge(fleet, epoch):
    verdict = Verdict(collections.Counter(), [])
    known = {request.identity for request in fleet.requests} | fleet.odd_identities
    for request in fleet.requests:
        judge_request(fleet, request, fleet.records.get(request.identity, []), epoch, verdict)
    verdict.broken += [f"unasked: {identity}" for identity in fleet.records
                       if identity not in known]
    for evacuation in fleet.evacuations:
        judge_evacuation(fleet, evacuation, epoch, verdict)
    for node in fleet.nodes:
        for boot in node.boots:
            judge_boot(node, boot, epoch, verdict)
    return verdict
