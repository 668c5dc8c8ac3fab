"""Detection of machines that report but do not receive responses."""

import logging

from coursefold.coordination.context import Context, Machine
from coursefold.protocol.wire import Report

log = logging.getLogger(__name__)

BUFFERED_REPORT_GAP_S = 0.2  # reports closer together were buffered and delivered together
RESPONSES_LOST_LEASES = 1.5  # lease lengths without a sign that responses arrive
UNANSWERED_GAP_S = 9.0  # a worker without responses tries all other controllers first
UNANSWERED_GAP_WITHOUT_SIBLINGS_S = 4.5  # a worker waits 4 s for a response


class ResponseMonitor:
    """Tells machines that receive responses from those of which only the reports arrive."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx

    def check(self, machine: Machine, report: Report) -> None:
        """Update whether the machine receives responses; its reports alone do not show that.

        A machine whose inbound path is cut goes on reporting, and a copy of an old report looks
        like a live machine. Two signs are needed. The machine has shown the current fencing
        token, which it can only know from a response. And its last two reports came shortly
        after each other: a worker without a response waits 4 s and then tries the other
        controllers, while the buffered reports of one that was cut off in both directions
        arrive all at once and show nothing.
        """
        ctx = self.ctx
        gap_s = ctx.now - machine.last_report_at if machine.session else 0.0
        receives_responses = (
            machine.receives_responses
            if gap_s < BUFFERED_REPORT_GAP_S
            else gap_s < self._max_gap_s()
        )
        token_confirmed = report.token == ctx.machine_token(machine.id) or (
            machine.token_confirmed and report.session == machine.session
        )
        if (receives_responses, token_confirmed) != (
            machine.receives_responses,
            machine.token_confirmed,
        ):
            ctx.notify_peers = True
        if receives_responses:
            machine.no_response_since = None
            if machine.responses_lost:
                machine.responses_lost = False
                log.info("machine %s receives responses again", machine.id)
        elif machine.no_response_since is None:
            machine.no_response_since = ctx.now
        elif (
            not machine.responses_lost
            and ctx.now - machine.no_response_since
            > RESPONSES_LOST_LEASES * ctx.settings.params.workers.lease_s
        ):
            machine.responses_lost = ctx.notify_peers = True
            log.info("machine %s reports but receives no responses", machine.id)
        machine.receives_responses, machine.token_confirmed = receives_responses, token_confirmed

    def _max_gap_s(self) -> float:
        """Return the gap in seconds from which a worker may be one without responses."""
        return UNANSWERED_GAP_S if self.ctx.settings.siblings else UNANSWERED_GAP_WITHOUT_SIBLINGS_S
