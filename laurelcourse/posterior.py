"""Arithmetic of the posterior recursion, on logarithms of weights.

Source: S. Dayanik, W. B. Powell and K. Yamazaki, "Asymptotically Optimal Bayesian Sequential Change Detection
and Identification Rules", section 2.1.
"""

import math
from collections.abc import Sequence


def update_log_weights(
    log_weights: list[float],
    log_likelihood_ratios: Sequence[float],
    priors: Sequence[float],
    change_probability: float,
) -> None:
    """Updates the weights with one outcome, in place, and normalises them to a sum of 1.

    `log_weights` holds the weight of "no change" first, then one for each hypothesis; the other sequences
    hold one value for each hypothesis. A likelihood ratio compares a hypothesis with "no change".
    """
    no_change = log_weights[0]
    log_change = math.log(change_probability)
    log_weights[0] = no_change + math.log(1 - change_probability)
    for index, (log_ratio, prior) in enumerate(zip(log_likelihood_ratios, priors, strict=True), 1):
        changed_now = log_change + math.log(prior) + no_change
        log_weights[index] = (
            max(log_weights[index], changed_now)
            + math.log1p(math.exp(-abs(log_weights[index] - changed_now)))
            + log_ratio
        )
    largest = max(log_weights)
    log_total = largest + math.log(sum(math.exp(log_weight - largest) for log_weight in log_weights))
    log_weights[:] = [log_weight - log_total for log_weight in log_weights]


def variance(values: list[float]) -> float:
    """Returns the sample variance; 0 for fewer than two values."""
    mean = sum(values) / max(len(values), 1)
    return sum((value - mean) ** 2 for value in values) / max(len(values) - 1, 1)
