//! Open-loop load and experiment tool.

pub mod control;
