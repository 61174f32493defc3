//! agatemill-entry
fn main() {}
