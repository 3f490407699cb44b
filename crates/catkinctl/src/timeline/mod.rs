//! `catkinctl timeline`: merges the events of all gateways into one order.

mod collect;
mod filter;
mod html;
mod slices;

pub use {
    collect::{Collector, Gap, Unreachable},
    filter::{Filter, Selection, SliceName},
    html::render_page,
    slices::{Lane, Segment, SliceState, lanes},
};

use {
    crate::gateways::Gateways,
    catkin::{
        Code, Error,
        event::{Event, WallTime},
    },
    jiff::Timestamp,
    serde::Serialize,
    std::{
        fmt,
        io::{self, Write},
        str::FromStr,
        time::Duration,
    },
};

const FOLLOW_PERIOD: Duration = Duration::from_millis(500);

/// Output format of the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineFormat {
    /// Human-readable lines.
    Text,
    /// JSON values, one per line.
    Json,
    /// An HTML page with a chart of slice ownership.
    Html,
}

impl FromStr for TimelineFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err(Error::new(
                Code::BadUsage,
                format!("unknown output format {text:?}: expected text, json or html"),
            )),
        }
    }
}

/// Events of all gateways, with the missing gateways and events.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Events in merged order.
    pub events: Vec<Event>,
    /// Gateways without a usable answer.
    pub unreachable: Vec<Unreachable>,
    /// Ranges of events that were dropped before they were read.
    pub gaps: Vec<Gap>,
}

/// One line of the timeline.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Line<'a> {
    /// An event.
    Event(&'a Event),
    /// A gateway without a usable answer.
    Unreachable {
        /// The gateway and its error.
        #[serde(rename = "silent")]
        unreachable: &'a Unreachable,
    },
    /// Events that were dropped before they were read.
    Gap {
        /// Range of the events.
        gap: &'a Gap,
    },
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(event) => {
                let Event { at, vm, offset, kind, .. } = event;
                write!(f, "{}+{} {vm} offset {offset}: {kind}", to_rfc3339(at.wall), at.count)
            }
            Self::Unreachable { unreachable } => write!(f, "{unreachable}"),
            Self::Gap { gap } => write!(f, "{gap}"),
        }
    }
}

impl Timeline {
    /// Returns whether all live gateways answered, regardless of gaps and of
    /// gateways that are leaving.
    pub fn all_live_answered(&self) -> bool {
        self.unreachable.iter().all(|unreachable| unreachable.leaving)
    }

    /// Returns the events, then the gaps, then the unreachable gateways.
    pub fn lines(&self) -> impl Iterator<Item = Line<'_>> {
        let events = self.events.iter().map(Line::Event);
        let gaps = self.gaps.iter().map(|gap| Line::Gap { gap });
        events.chain(gaps).chain(self.unreachable.iter().map(|unreachable| Line::Unreachable { unreachable }))
    }

    /// Writes the timeline and flushes the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream or of the serializer.
    pub fn write(&self, format: TimelineFormat, mut stream: impl Write) -> eyre::Result<()> {
        match format {
            TimelineFormat::Html => write!(stream, "{}", render_page(self))?,
            TimelineFormat::Text => self.lines().try_for_each(|line| writeln!(stream, "{line}"))?,
            TimelineFormat::Json => {
                for line in self.lines() {
                    writeln!(stream, "{}", serde_json::to_string(&line)?)?;
                }
            }
        }
        Ok(stream.flush()?)
    }
}

/// Collects, filters and prints the events once. Returns whether all live
/// gateways answered.
///
/// # Errors
///
/// Returns the errors of [`Gateways::list`] and of standard output.
pub async fn print(gateways: &Gateways, filter: &Filter, format: TimelineFormat) -> eyre::Result<bool> {
    let timeline = collect(gateways, filter).await?;
    timeline.write(format, io::stdout().lock())?;
    Ok(timeline.all_live_answered())
}

/// Collects and filters the events once.
///
/// # Errors
///
/// Returns the errors of [`Gateways::list`].
pub async fn collect(gateways: &Gateways, filter: &Filter) -> Result<Timeline, Error> {
    let mut timeline = Collector::new().collect(gateways).await?;
    let selection = filter.select(timeline.events.iter());
    timeline.events.retain(|event| selection.matches(event));
    timeline.gaps.retain(|gap| filter.may_match_gap(gap));
    Ok(timeline)
}

/// Prints new events until the process is stopped. Events of one poll are printed
/// in order. Later events are printed with a later poll, even if their time is
/// earlier. While the VM list is unavailable, calls `on_error` and retries.
///
/// # Errors
///
/// Returns the errors of standard output.
pub async fn follow(
    gateways: &Gateways,
    filter: &Filter,
    format: TimelineFormat,
    on_error: impl Fn(&str),
) -> eyre::Result<bool> {
    let mut collector = Collector::new();
    let mut unreachable = Vec::new();
    loop {
        match collector.collect(gateways).await {
            Ok(mut timeline) => {
                let selection = filter.select(collector.recent().iter());
                timeline.events.retain(|event| selection.matches(event));
                // Reports the unreachable gateways only when they differ from
                // those of the previous poll.
                if timeline.unreachable == unreachable {
                    timeline.unreachable.clear();
                } else {
                    unreachable.clone_from(&timeline.unreachable);
                }
                timeline.write(format, io::stdout().lock())?;
            }
            Err(error) => on_error(&error.to_string()),
        }
        actix_rt::time::sleep(FOLLOW_PERIOD).await;
    }
}

/// Formats a wall clock time as RFC 3339 with microseconds.
pub(crate) fn to_rfc3339(wall: WallTime) -> String {
    let micros = i64::try_from(wall.as_micros()).unwrap_or(i64::MAX);
    Timestamp::from_microsecond(micros).map_or_else(|_| wall.to_string(), |time| format!("{time:.6}"))
}
