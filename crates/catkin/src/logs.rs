//! Set-up of structured logs.

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
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object each.
    Json,
}

/// Sends log lines to the standard error stream. `RUST_LOG` sets the levels;
/// without it lines of level info and above are written.
///
/// # Panics
///
/// Panics if logs were set up before.
pub fn init(layout: Layout) {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    logforth::starter_log::builder()
        .dispatch(|d| {
            let d = d.filter(filter);
            match layout {
                Layout::Text => {
                    d.append(append::Stderr::default().with_layout(TextLayout::default().no_color()))
                }
                Layout::Json => d.append(append::Stderr::default().with_layout(JsonLayout::default())),
            }
        })
        .apply();
}

/// Sends log lines to the standard output stream, as [`init`] does to the
/// error stream.
///
/// # Panics
///
/// Panics if logs were set up before.
pub fn init_stdout(layout: Layout) {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    logforth::starter_log::builder()
        .dispatch(|d| {
            let d = d.filter(filter);
            match layout {
                Layout::Text => {
                    d.append(append::Stdout::default().with_layout(TextLayout::default().no_color()))
                }
                Layout::Json => d.append(append::Stdout::default().with_layout(JsonLayout::default())),
            }
        })
        .apply();
}
