//! Command-line client for operators of catkinhub.

fn main() {}
