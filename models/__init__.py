"""Small models of the core protocol, explored exhaustively.

The transitions of each model call the product's own decision functions, so
that model and product cannot diverge.  A mutant replaces one decision and must
produce a counterexample, which shows that the check can fail.
"""
