//! Command-line client for operators of catkinhub.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinctl::run()
}
