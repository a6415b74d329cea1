"""Planner implementations, by the name that the settings use."""

from .best_fit import BestFitPlanner
from .first_fit import FirstFitPlanner

PLANNERS = {"first-fit": FirstFitPlanner, "best-fit": BestFitPlanner}
