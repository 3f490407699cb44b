//! Events of a process and their order across processes.
//!
//! Each process has a [`Ring`]. Its hybrid logical [`Clock`] follows the wall
//! clock and never falls behind a received timestamp, so that an effect is always
//! stamped after its cause, whatever the skew of the wall clocks. Datagrams,
//! forwarded requests and forwarded answers carry a timestamp from
//! [`Ring::stamp`], and the receiver passes it to [`Ring::observe`]. The order
//! holds for these messages.
//!
//! ```
//! use catkin::event::{Kind, Ring, WallTime};
//!
//! let mut ring = Ring::new("vm-1".parse()?, 1, 100);
//! ring.push(WallTime::from_micros(5_000_000), 7.into(), Kind::LogDown);
//! assert_eq!(ring.page(0, 10).events[0].number, 0);
//! # Ok::<(), catkin::Error>(())
//! ```

mod clock;
mod kind;
mod merge;
mod ring;

pub use {
    clock::{Clock, Timestamp, WallTime},
    kind::Kind,
    merge::merge,
    ring::{Event, EventPage, Ring},
};
