"""Small specifications of the core protocol, searched exhaustively.

Each model's transitions call the product's own decision functions, so that
model and product cannot drift apart.  A mutant replaces one decision and must
give a counterexample: that shows the check can fail.
"""
