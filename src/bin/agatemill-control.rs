//! agatemill-control
fn main() {}
