"""The pool-size PID (the paper's CT-p, section 3.2)."""

from typing import NamedTuple


class Gains(NamedTuple):
    """The controller's three factors."""

    proportional: float = 1.0
    integral: float = 0.02
    derivative: float = 0.0


class PidResult(NamedTuple):
    """The drive u_t in slots, and the state to keep."""

    output: float
    integral: float
    error: float


def compute_pid(
    error: float, last_error: float, integral: float, gains: Gains, *, hold: bool, clamp: float
) -> PidResult:
    """u_t = Kp·e_t + Ki·Σe + Kd·(e_t - e_{t-1}).

    `hold` is the anti-windup: while rented machines boot, the error they will
    close is not summed up again. `clamp` bounds what the sum may ask for.
    """
    if not hold:
        integral += error
    if error * integral < 0:
        integral = 0.0
    if gains.integral > 0:
        bound = clamp / gains.integral
        integral = max(-bound, min(bound, integral))
    drive = (
        gains.proportional * error
        + gains.integral * integral
        + gains.derivative * (error - last_error)
    )
    return PidResult(drive, integral, error)
