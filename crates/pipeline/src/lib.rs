//! Drives a generation through a chain of engines, one step for each token.
