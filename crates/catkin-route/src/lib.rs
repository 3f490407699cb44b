//! Decisions of the edge program: routes, targets, ownership, limits.
//!
//! Nothing here does I/O and every function that needs the time takes it as an
//! argument, so that tests drive the same code as the program.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | which route a request takes, and whether a configuration is valid |
//! | [`split`] | which part of a split route gets the next request |
//! | [`backlog`] | which records are passed on to other processes |
//! | [`directory`] | which targets exist and which may get new requests |
//! | [`owners`] | which target owns a key |
//! | [`patch`] | what differs between two tables of owners |
//! | [`granter`] | which command to targets and which record follows |
//! | [`succession`] | which process follows a leader |
//! | [`balance`] | which keys move to another target |
//! | [`load`] | which target gets a request |
//! | [`turns`] | which process may send to a busy target |
//! | [`budget`] | whether the service has a repeated send left |
//! | [`tries`] | whether a request may be sent once more, and what its caller is told |

pub mod backlog;
pub mod balance;
pub mod budget;
pub mod config;
pub mod directory;
pub mod granter;
pub mod load;
pub mod owners;
pub mod patch;
pub mod split;
pub mod succession;
pub mod tries;
pub mod turns;
