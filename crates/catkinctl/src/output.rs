//! Prints reports as text or JSON.

use {
    catkin::{Code, Error},
    serde::Serialize,
    std::{
        fmt::{self, Display},
        io::{self, Write},
        str::FromStr,
    },
};

/// Output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable lines.
    Text,
    /// One JSON value.
    Json,
}

/// The result of a command.
pub trait Report: Display + Serialize {
    /// Returns whether the command succeeded, so that the exit code is 0.
    fn is_success(&self) -> bool {
        true
    }

    /// Returns the exit code of the program: 0 for success, otherwise 1.
    fn exit_code(&self) -> u8 {
        u8::from(!self.is_success())
    }
}

/// Rows of a report, one line each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Rows<T>(pub Vec<T>);

impl<T: Display> Display for Rows<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, row) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{row}")?;
        }
        Ok(())
    }
}

impl<T: Display + Serialize> Report for Rows<T> {}

impl OutputFormat {
    /// Prints a report to standard output.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream or of the serializer.
    pub fn print<R: Report>(self, report: &R) -> eyre::Result<()> {
        let mut stream = io::stdout().lock();
        match self {
            Self::Text => writeln!(stream, "{report}")?,
            Self::Json => writeln!(stream, "{}", serde_json::to_string(report)?)?,
        }
        Ok(())
    }
}

impl FromStr for OutputFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(Error::new(
                Code::BadUsage,
                format!("unknown output format {text:?}: expected text or json"),
            )),
        }
    }
}
