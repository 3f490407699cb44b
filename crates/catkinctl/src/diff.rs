//! `catkinctl diff`: compares two configurations.

use {
    crate::{check, output::Rows, reader::Reader},
    catkin::{
        Error,
        config::{self, Difference},
    },
    std::path::Path,
};

/// Compares a file with the configuration in force.
///
/// # Errors
///
/// Returns the errors of [`check::read`], [`config::parse`] and
/// [`Reader::catch_up`].
pub async fn with_log(mut reader: Reader, file: &Path) -> Result<Rows<Difference>, Error> {
    let new = config::parse(&check::read(file)?)?;
    reader.catch_up(|_, _, _, _| ()).await?;
    Ok(Rows(config::diff(&reader.state().config().fleet, &new)))
}

/// Compares two files.
///
/// # Errors
///
/// Returns the errors of [`check::read`] and [`config::parse`].
pub fn with_file(old: &Path, new: &Path) -> Result<Rows<Difference>, Error> {
    let old = config::parse(&check::read(old)?)?;
    let new = config::parse(&check::read(new)?)?;
    Ok(Rows(config::diff(&old, &new)))
}
