//! Gateway of the catkinhub router.

fn main() {}
