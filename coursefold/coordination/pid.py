"""PID controller for pool sizes (CT-p in the Cioppino paper, section 3.2)."""

from typing import NamedTuple


class Gains(NamedTuple):
    """Gains of the PID controller: Kp, Ki (per step) and Kd."""

    proportional: float = 1.0
    integral: float = 0.02
    derivative: float = 0.0


class PidResult(NamedTuple):
    """Result of one step of the controller.

    Attributes:
        output: Control output u_t, in slots to add (negative: to remove).
        integral: Sum of errors, to be passed to the next step.
        error: Error e_t of this step, to be passed to the next step as `last_error`.
    """

    output: float
    integral: float
    error: float


def compute_pid(
    error: float,
    last_error: float,
    integral: float,
    gains: Gains,
    *,
    hold_integral: bool,
    max_integral_output: float,
) -> PidResult:
    """Return u_t = Kp·e_t + Ki·Σe + Kd·(e_t - e_{t-1}) and the state for the next step.

    The integral is reset when the error changes its sign.

    Args:
        error: Target size less current size, in slots.
        last_error: Error of the step before.
        integral: Sum of errors after the step before.
        gains: Gains of the controller.
        hold_integral: Anti-windup. While rented machines boot, the error that they will
            close is not added to the integral.
        max_integral_output: Bound of the integral term's absolute value, in slots.
    """
    if not hold_integral:
        integral += error
    if error * integral < 0:
        integral = 0.0
    if gains.integral > 0:
        bound = max_integral_output / gains.integral
        integral = max(-bound, min(bound, integral))
    output = (
        gains.proportional * error
        + gains.integral * integral
        + gains.derivative * (error - last_error)
    )
    return PidResult(output, integral, error)
