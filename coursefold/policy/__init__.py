"""The operators' policy: rules on pools and the control loop's parameters."""

from coursefold.policy.model import DEFAULTS, Adjustment, Parameters, Policy

__all__ = ["DEFAULTS", "Adjustment", "Parameters", "Policy"]
