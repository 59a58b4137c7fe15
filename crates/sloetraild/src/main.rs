//! The sloetrail node daemon.

fn main() {}
