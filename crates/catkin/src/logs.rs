//! Set-up of structured logging.

use {
    logforth::{
        append,
        filter::rustlog::RustLogFilterBuilder,
        layout::{JsonLayout, TextLayout},
    },
    serde::{Deserialize, Serialize},
};

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

/// Initializes logging to a stream, with levels as in [`init`].
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
            let d = d.filter(filter);
            match (output, layout) {
                (Output::Stderr, Layout::Text) => d.append(stderr().with_layout(text())),
                (Output::Stderr, Layout::Json) => d.append(stderr().with_layout(json())),
                (Output::Stdout, Layout::Text) => d.append(stdout().with_layout(text())),
                (Output::Stdout, Layout::Json) => d.append(stdout().with_layout(json())),
            }
        })
        .apply();
}
