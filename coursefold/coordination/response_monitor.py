"""Does a machine that reports hear our answers?"""

import logging

from coursefold.coordination.context import Context, Machine
from coursefold.protocol.wire import Report

log = logging.getLogger(__name__)

HELD_S = 0.2  # reports closer than this were held back and let go together
DEAF_LEASES = 1.5  # without a sign of hearing us: then a machine is of no use
UNHEARD_GAP_S = 9.0  # a worker without answers asks all other nodes before it comes back
UNHEARD_GAP_ALONE_S = 4.5  # it waits 4 s for an answer


class ResponseMonitor:
    """Tells machines that hear us from those whose reports alone arrive."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx

    def check(self, machine: Machine, report: Report) -> None:
        """Does the machine hear us? Its reports alone do not say so.

        A machine whose way in is cut goes on reporting, and a copy of an old report
        looks like a live machine. Two signs are needed. It has shown our token, which
        only our answer can have told it. And its last two reports came soon after each
        other: one that gets no answer waits 4 s and then asks the other nodes first,
        while one that was cut off both ways sends what was held back all at once.
        """
        ctx = self.ctx
        gap = ctx.now - machine.last_report_at if machine.session else 0.0
        hears = machine.receives_responses if gap < HELD_S else gap < self._longest_gap()
        proven = report.token == ctx.machine_token(machine.id) or (
            machine.token_confirmed and report.session == machine.session
        )
        if (hears, proven) != (machine.receives_responses, machine.token_confirmed):
            ctx.notify_peers = True
        if hears:
            machine.no_response_since = None
            if machine.responses_lost:
                machine.responses_lost = False
                log.info("machine %s hears us again", machine.id)
        elif machine.no_response_since is None:
            machine.no_response_since = ctx.now
        elif (
            not machine.responses_lost
            and ctx.now - machine.no_response_since
            > DEAF_LEASES * ctx.settings.params.workers.lease_s
        ):
            machine.responses_lost = ctx.notify_peers = True
            log.info("machine %s reports, but does not hear us", machine.id)
        machine.receives_responses, machine.token_confirmed = hears, proven

    def _longest_gap(self) -> float:
        """Reports to one node that come no sooner than this may be of a worker without answers."""
        return UNHEARD_GAP_S if self.ctx.settings.siblings else UNHEARD_GAP_ALONE_S
