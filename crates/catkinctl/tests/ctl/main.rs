//! Tests of the operators' commands.

mod exit;
mod fake;
mod operate;
mod publish;
mod timeline;
