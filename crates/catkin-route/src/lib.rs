//! Decisions of the edge program: routes, targets, ownership, limits.
//!
//! No function does I/O, and every function that needs the time takes it as an
//! argument, so that tests drive the same code as the program.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | which route a request takes, and whether a configuration is valid |
//! | [`silence`] | which targets have stopped responding |
//! | [`spill`] | which share of a zone's requests goes to other zones |
//! | [`split`] | which service of a split route gets the next request |
//! | [`backlog`] | which records are forwarded to other processes |
//! | [`drain`] | what a process that is asked to stop still takes |
//! | [`directory`] | which targets exist and which may get new requests |
//! | [`evacuation`] | when the targets of an evacuated zone stop and their keys move |
//! | [`owners`] | which target owns a key |
//! | [`delta`] | the delta between two tables of owners |
//! | [`granter`] | which commands go to targets and which record is written next |
//! | [`subset`] | in which order a process considers targets |
//! | [`succession`] | which process takes over from a leader |
//! | [`balance`] | which keys move to another target |
//! | [`numbering`] | how messages name targets |
//! | [`level`] | how the loads of all targets are encoded for all processes |
//! | [`message`] | what processes and their leader send to each other |
//! | [`load`] | which target gets a request |
//! | [`cold`] | which requests a cold target gets, and from which process |
//! | [`admission`] | which requests are refused at once under overload |
//! | [`service_time`] | how long requests take at each target |
//! | [`rank`] | how far less urgent requests may fill a target |
//! | [`pace`] | when a process may send to a target that bounds all processes |
//! | [`announced`] | which announcements of a target are in force |
//! | [`pause`] | when a target that wanted no requests gets some again |
//! | [`pacing`] | which parts of messages are due |
//! | [`peer_count`] | how many processes there are |
//! | [`peer_view`] | what a process behind a link knows and needs not be sent again |
//! | [`quotas`] | which quota of a busy target's slots each process gets |
//! | [`vacancy`] | when keys without an owner have one again |
//! | [`topic_copy`] | which records of a topic a process keeps for others |
//! | [`backoff`] | when a store that could not be read is called again |
//! | [`report_times`] | how old a state of the leader is when it arrives |
//! | [`budget`] | whether a service has a retry left |
//! | [`link_load`] | whether an answer can be sent over the own link in time |
//! | [`streaming`] | how much of an answer is held or read ahead of its caller |
//! | [`attempts`] | whether a request may get another attempt, and what its caller is told |

pub mod admission;
pub mod announced;
pub mod attempts;
pub mod backlog;
pub mod backoff;
pub mod balance;
pub mod budget;
pub mod cold;
pub mod config;
pub mod delta;
pub mod directory;
pub mod drain;
pub mod evacuation;
pub mod granter;
pub mod level;
pub mod link_load;
pub mod load;
pub mod message;
pub mod numbering;
pub mod owners;
pub mod pace;
pub mod pacing;
pub mod pause;
pub mod peer_count;
pub mod peer_view;
pub mod quotas;
pub mod rank;
pub mod rate;
pub mod report_times;
pub mod service_time;
pub mod silence;
pub mod spill;
pub mod split;
pub mod streaming;
pub mod subset;
pub mod succession;
pub mod topic_copy;
pub mod vacancy;
