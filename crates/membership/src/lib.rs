//! Failure detection and membership as a state machine without I/O.
