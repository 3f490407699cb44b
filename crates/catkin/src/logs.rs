//! Set-up of structured logging.

use {
    logforth::{
        Append,
        append::{self, asynchronous::AsyncBuilder},
        filter::rustlog::RustLogFilterBuilder,
        layout::{JsonLayout, TextLayout},
    },
    serde::{Deserialize, Serialize},
    std::{sync::mpsc, thread, time::Duration},
};

/// Most lines that wait for a reader of the stream. Further ones are dropped.
const PENDING_LINES_MAX: usize = 1_024;

/// Longest time for which the end of a process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Layout of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Layout {
    /// A line of text for each entry.
    #[default]
    Text,
    /// A JSON object for each entry.
    Json,
}

/// Stream that log lines are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The standard error stream, for programs that print results.
    Stderr,
    /// The standard output stream.
    Stdout,
}

/// Initializes logging to the standard error stream. `RUST_LOG` sets the levels;
/// the default is info.
///
/// # Panics
///
/// Panics if logging was initialized before.
pub fn init(layout: Layout) {
    init_to(layout, Output::Stderr);
}

/// Initializes logging to a stream, with levels as in [`init`]. Lines are written
/// by a thread of their own, so a stream that nobody reads does not block.
///
/// # Panics
///
/// Panics if logging was initialized before.
pub fn init_to(layout: Layout, output: Output) {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let text = || TextLayout::default().no_color();
    let json = JsonLayout::default;
    let (stderr, stdout) = (append::Stderr::default, append::Stdout::default);
    logforth::starter_log::builder()
        .dispatch(|d| {
            let stream: Box<dyn Append> = match (output, layout) {
                (Output::Stderr, Layout::Text) => stderr().with_layout(text()).into(),
                (Output::Stderr, Layout::Json) => stderr().with_layout(json()).into(),
                (Output::Stdout, Layout::Text) => stdout().with_layout(text()).into(),
                (Output::Stdout, Layout::Json) => stdout().with_layout(json()).into(),
            };
            let writer = AsyncBuilder::new("logs")
                .buffered_lines_limit(Some(PENDING_LINES_MAX))
                .overflow_drop_incoming()
                .append(stream)
                .build();
            d.filter(filter).append(writer)
        })
        .apply();
}

/// Writes the lines that wait, unless nobody reads the stream. To be called
/// before the process ends.
pub fn flush() {
    let (done, is_done) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        let _ = done.send(());
    });
    let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
}
