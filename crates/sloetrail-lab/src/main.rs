//! `sloetrail-lab`: the stand-ins of the platform and the tools that drive,
//! break and measure the system. Not part of the product.

use std::process::ExitCode;

fn main() -> ExitCode {
    sloetrail_lab::run()
}
