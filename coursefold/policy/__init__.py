"""The operators' policy: rules for the sizes of pools, and parameters of the control loop."""

from coursefold.policy.model import DEFAULT_PARAMETERS, Adjustment, Parameters, Policy

__all__ = ["DEFAULT_PARAMETERS", "Adjustment", "Parameters", "Policy"]
