//! At-most-once records for non-idempotent calls.
