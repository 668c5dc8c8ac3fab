"""The operators' policy: rules on pools and the control loop's parameters."""

from coursefold.policy.model import DEFAULT_PARAMETERS, Adjustment, Parameters, Policy

__all__ = ["DEFAULT_PARAMETERS", "Adjustment", "Parameters", "Policy"]
