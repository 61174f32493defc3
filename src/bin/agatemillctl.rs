//! agatemillctl
fn main() {}
