//! Tests of the operators' commands.

mod fake;
mod operate;
mod publish;
mod timeline;
