//! The entry process: caller HTTP, admission, routing and at-most-once calls.
