//! Output of reports as text or JSON.

use {
    catkin::{Code, Error},
    serde::Serialize,
    std::{
        fmt::{self, Display},
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

/// Rows of a report, one line each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Rows<T>(pub Vec<T>);

impl<T: Display> Display for Rows<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, row) in self.0.iter().enumerate() {
            let end = if number == 0 { "" } else { "\n" };
            write!(f, "{end}{row}")?;
        }
        Ok(())
    }
}

impl<T: Display + Serialize> Report for Rows<T> {}

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
