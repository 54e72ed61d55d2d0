"""What is known of each target, and the probes that find it out."""

from currantline.load._budget import ProbeBudget, count_share_holders

__all__ = ["ProbeBudget", "count_share_holders"]
