//! Cost of a placement decision.
fn main() {}
