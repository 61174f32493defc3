//! Tests of the program under callers that the operator does not control.
//!
//! Each starts `agatemill-gateway` as a process of its own, sends it the requests of such callers, and checks that it stays
//! alive within its memory and descriptors and that it answers one ordinary request afterwards. The tests run one at a time.

mod bodies;
mod connections;
mod datagrams;
mod framing;
mod held;
mod host;
mod memory;
