//! Output of reports as text or JSON.

use {
    catkin::{Code, Error},
    serde::Serialize,
    std::{
        fmt::Display,
        io::{self, Write},
        str::FromStr,
    },
};

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Lines for people.
    Text,
    /// One JSON value.
    Json,
}

/// The result of a command.
pub trait Report: Display + Serialize {
    /// Returns whether the exit code is 0.
    fn is_success(&self) -> bool {
        true
    }
}

impl Output {
    /// Prints a report on the standard output.
    ///
    /// # Errors
    ///
    /// The error of the stream or the serializer.
    pub fn print<R: Report>(self, report: &R) -> eyre::Result<()> {
        let mut stream = io::stdout().lock();
        match self {
            Self::Text => writeln!(stream, "{report}")?,
            Self::Json => writeln!(stream, "{}", serde_json::to_string(report)?)?,
        }
        Ok(())
    }
}

impl FromStr for Output {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(Error::new(Code::BadUsage, format!("{text:?} is not text or json"))),
        }
    }
}
