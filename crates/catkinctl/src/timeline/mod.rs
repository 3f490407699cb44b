//! `catkinctl timeline`: events of all gateways in one order.

mod collect;
mod filter;
mod page;
mod slices;

pub use {
    collect::{Collector, Gap, Silent},
    filter::{Filter, Selection, SliceName},
    page::page,
    slices::{Lane, Stretch, Use, lanes},
};

use {
    crate::gateways::Gateways,
    catkin::{
        Code, Error,
        event::{Event, Wall},
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

/// Form of the time line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Lines for people.
    Text,
    /// JSON values, one a line.
    Json,
    /// A page with a picture of the ownership.
    Html,
}

impl FromStr for Form {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err(Error::new(Code::BadUsage, format!("{text:?} is not text, json or html"))),
        }
    }
}

/// Events of all gateways, and what is missing.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The events in order.
    pub events: Vec<Event>,
    /// Gateways that did not answer.
    pub silent: Vec<Silent>,
    /// Events that were dropped before they were read.
    pub gaps: Vec<Gap>,
}

/// One line of the time line.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Line<'a> {
    /// An event.
    Event(&'a Event),
    /// A gateway that did not answer.
    Silent {
        /// The gateway.
        silent: &'a Silent,
    },
    /// Events that were dropped.
    Gap {
        /// The events.
        gap: &'a Gap,
    },
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(event) => {
                let Event { at, vm, offset, kind, .. } = event;
                write!(f, "{}+{} {vm} offset {offset}: {kind}", show_time(at.wall), at.count)
            }
            Self::Silent { silent } => write!(f, "{silent}"),
            Self::Gap { gap } => write!(f, "{gap}"),
        }
    }
}

impl Timeline {
    /// Returns whether every gateway that must answer did so.
    pub fn is_complete(&self) -> bool {
        self.silent.iter().all(|silent| silent.leaving)
    }

    /// Returns all lines: the events, then what is missing.
    pub fn lines(&self) -> impl Iterator<Item = Line<'_>> {
        let events = self.events.iter().map(Line::Event);
        let gaps = self.gaps.iter().map(|gap| Line::Gap { gap });
        events.chain(gaps).chain(self.silent.iter().map(|silent| Line::Silent { silent }))
    }

    /// Writes the time line.
    ///
    /// # Errors
    ///
    /// The error of the stream or the serializer.
    pub fn write(&self, form: Form, mut stream: impl Write) -> eyre::Result<()> {
        match form {
            Form::Html => write!(stream, "{}", page(self))?,
            Form::Text => self.lines().try_for_each(|line| writeln!(stream, "{line}"))?,
            Form::Json => {
                for line in self.lines() {
                    writeln!(stream, "{}", serde_json::to_string(&line)?)?;
                }
            }
        }
        Ok(stream.flush()?)
    }
}

/// Collects, filters and prints the events once. Returns whether all
/// live gateways answered.
///
/// # Errors
///
/// As [`Gateways::list`], and the errors of the standard output.
pub async fn print(gateways: &Gateways, filter: &Filter, form: Form) -> eyre::Result<bool> {
    let timeline = collect(gateways, filter).await?;
    timeline.write(form, io::stdout().lock())?;
    Ok(timeline.is_complete())
}

/// Collects and filters the events once.
///
/// # Errors
///
/// As [`Gateways::list`].
pub async fn collect(gateways: &Gateways, filter: &Filter) -> Result<Timeline, Error> {
    let mut timeline = Collector::new().collect(gateways).await?;
    let selection = filter.select(timeline.events.iter());
    timeline.events.retain(|event| selection.has(event));
    timeline.gaps.retain(|gap| filter.has_gap(gap));
    Ok(timeline)
}

/// Prints new events until the process is stopped. Events of one poll are in
/// order; an event that arrives late is printed late. A VM list that does not
/// answer is asked again.
///
/// # Errors
///
/// The errors of the standard output.
pub async fn follow(
    gateways: &Gateways,
    filter: &Filter,
    form: Form,
    show: impl Fn(&str),
) -> eyre::Result<bool> {
    let mut collector = Collector::new();
    let mut silent = Vec::new();
    loop {
        match collector.collect(gateways).await {
            Ok(mut new) => {
                let selection = filter.select(collector.recent().iter());
                new.events.retain(|event| selection.has(event));
                // A gateway that stays silent is reported once.
                if new.silent == silent {
                    new.silent.clear();
                } else {
                    silent.clone_from(&new.silent);
                }
                new.write(form, io::stdout().lock())?;
            }
            Err(error) => show(&error.to_string()),
        }
        actix_rt::time::sleep(FOLLOW_PERIOD).await;
    }
}

/// Shows a reading of the wall clock in RFC 3339.
pub(crate) fn show_time(wall: Wall) -> String {
    let micros = i64::try_from(wall.as_micros()).unwrap_or(i64::MAX);
    Timestamp::from_microsecond(micros).map_or_else(|_| wall.to_string(), |time| format!("{time:.6}"))
}
