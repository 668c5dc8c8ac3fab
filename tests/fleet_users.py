"""A user of the simulated cluster, which checks each response against the protocol."""

from typing import TYPE_CHECKING

from coursefold.coordination.effects import Response
from coursefold.protocol.wire import encode
from tests.fleet_jobs import RuleBrokenError, UserJob

if TYPE_CHECKING:
    from tests.fleet import Fleet

POLL_S = 5.0


class User:
    """The user of one job: submits it until it is accepted and polls it until it has ended.

    Attributes:
        polled_at: When the last poll was sent.
    """

    def __init__(self, world: "Fleet", job: UserJob) -> None:
        self.world, self.job = world, job
        self.body = encode(job.body)
        self.polled_at = 0.0

    def send(self) -> None:
        """Submit the job once all its prerequisites are accepted."""
        if any(need.accepted_at < 0 for need in self.job.needs):
            self.world.after(0.3, self.send)
            return
        self.world.ask(lambda core, t: core.submit(self.body, t), self._sent)

    def _sent(self, answer: Response | None) -> None:
        if answer is not None and answer.status in (200, 201):
            self.world.record_answer(self.job, answer)
            self.world.after(POLL_S, self._poll)
        elif answer is not None and answer.status in (400, 404, 422):
            raise RuleBrokenError(
                f"{self.job.name}: the submission got status {answer.status} {answer.body}"
            )
        else:
            self.world.after(1.0, self.send)

    def _poll(self) -> None:
        self.polled_at = self.world.now
        if not self.job.has_ended():
            self.world.ask(lambda core, t: core.poll(self.job.name, t), self._polled)

    def _polled(self, answer: Response | None) -> None:
        if answer is not None and answer.status == 404:
            raise RuleBrokenError(f"{self.job.name}: accepted earlier and now unknown")
        if answer is not None and answer.status == 200:
            self._check_prerequisites(answer)
            self.world.record_answer(self.job, answer)
        self.world.after(POLL_S * self.world.rng.uniform(0.8, 1.2), self._poll)

    def _check_prerequisites(self, answer: Response) -> None:
        """Check that the job is cancelled if a prerequisite was cancelled before the poll."""
        status = answer.body["Status"]
        if status != "cancelled" and -1 < self.job.cancellation_told_at() < self.polled_at:
            raise RuleBrokenError(f"{self.job.name}: {status} although a prerequisite is cancelled")

    def cancel(self) -> None:
        """Cancel the job once it is accepted, repeating the request until it is confirmed."""
        if self.job.accepted_at < 0:
            self.world.after(2.0, self.cancel)
            return
        self.job.cancel_requested = True
        if not self.job.has_ended():
            self.world.ask(lambda core, t: core.cancel(self.job.name, t), self._cancelled)

    def _cancelled(self, answer: Response | None) -> None:
        if answer is not None and answer.status == 200:
            self.world.record_answer(self.job, answer)
        else:
            self.world.after(1.0, self.cancel)
