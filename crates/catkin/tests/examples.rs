//! Parses every example file, and every broken file with the error that its
//! first lines give. Guards against settings and configurations that are
//! refused although valid, accepted although invalid, or refused with an error
//! that does not point to the cause.

use {
    catkin::{
        Error, config,
        settings::{self, Gateway, Standin},
    },
    datatest_stable::{Result, harness},
    std::path::Path,
};

fn gateway(_: &Path, text: String) -> Result<()> {
    settings::parse::<Gateway>(&text)?;
    Ok(())
}

fn standin(_: &Path, text: String) -> Result<()> {
    settings::parse::<Standin>(&text)?;
    Ok(())
}

fn fleet(_: &Path, text: String) -> Result<()> {
    let fleet = config::parse(&text)?;
    assert_eq!(fleet.services.len(), 4);
    assert!((2..=3).contains(&fleet.exceptions.len()));
    Ok(())
}

fn broken(path: &Path, text: String) -> Result<()> {
    let name = path.to_string_lossy().replace('\\', "/");
    let error = if name.contains("/gateway/") {
        settings::parse::<Gateway>(&text).err()
    } else if name.contains("/standin/") {
        settings::parse::<Standin>(&text).err()
    } else {
        config::parse(&text).err()
    };
    check_error(&text, &error.ok_or("the file was accepted")?);
    Ok(())
}

fn check_error(text: &str, error: &Error) {
    let expected = |name: &str| {
        let mut lines = text.lines().map_while(|line| line.strip_prefix("# "));
        lines.find_map(|line| line.strip_prefix(name)).unwrap().trim()
    };
    assert_eq!(error.code().number().to_string(), expected("code:"), "{error}");
    assert_eq!(error.path().unwrap_or_default(), expected("path:"), "{error}");
    assert!(error.detail().contains(expected("detail:")), "{error}");
}

harness! {
    { test = gateway, root = "../../examples", pattern = r"gateway-\d\.yaml$" },
    { test = standin, root = "../../examples", pattern = r"standin\.yaml$" },
    { test = fleet, root = "../../examples", pattern = r"fleet\.yaml$" },
    { test = broken, root = "tests/broken", pattern = r"\.yaml$" },
}
