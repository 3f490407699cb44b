//! Tests of the commands of `catkinctl`.

mod check;
mod commands;
mod exit;
mod fake_log;
mod publish;
mod timeline;
