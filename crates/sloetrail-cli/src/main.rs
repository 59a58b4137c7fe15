//! The sloetrail command line.

fn main() {}
