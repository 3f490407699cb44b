//! Tests of the commands of `catkinctl`.

mod commands;
mod exit;
mod fake_log;
mod publish;
mod timeline;
