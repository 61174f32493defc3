//! agatemill-load
fn main() {}
