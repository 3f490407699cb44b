//! Load and experiments against a running catkinhub.

fn main() {}
