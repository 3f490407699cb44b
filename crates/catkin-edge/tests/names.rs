//! Tests that names of the wire occur in the adapter only, and that the proofs
//! page names existing tests.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names of the platform's wire protocol. They may occur in `platform/` and in
/// the stand-in only, so that a change of the protocol changes one folder.
const WIRE: [&str; 24] = [
    "x-request-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-shard-key",
    "x-not-run",
    "x-server-stamp",
    "x-server-load",
    "server-limit",
    "server-leaving",
    "x-handover",
    "x-instance-id",
    "trafficSplit",
    "configVersion",
    "pathPrefix",
    "maxConns",
    "targetLatencyMs",
    "coldLeftMs",
    "holdMs",
    "log-append",
    "log-read",
    "log-newest",
    "log-join",
    "keyed.servers",
    "keyed.op",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all Rust files below a folder.
fn sources(dir: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).unwrap().map(|e| e.unwrap().path()) {
        if entry.is_dir() {
            files.extend(sources(&entry));
        } else if entry.extension().is_some_and(|e| e == "rs") {
            files.push(entry);
        }
    }
    files
}

/// A name of the wire outside the adapter would make the product depend on the
/// platform.
#[test]
fn wire_names_stand_in_adapter_only() {
    for name in ["catkin", "catkin-edge", "catkin-gateway", "catkin-net", "catkin-route", "catkinctl"] {
        for file in sources(&root().join("crates").join(name).join("src")) {
            let text = fs::read_to_string(&file).unwrap();
            let found = WIRE.iter().find(|name| text.contains(**name));
            assert_eq!(found, None, "{}", file.display());
        }
    }
}

/// A row of the proofs page that names a missing test proves nothing.
#[test]
fn proofs_name_tests_that_exist() {
    let page = fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let mut files = sources(&root().join("crates"));
    files.extend(sources(&root().join("platform")));
    let code: String = files.iter().map(|f| fs::read_to_string(f).unwrap()).collect();
    let section = page.split("## The users' platform").nth(1).unwrap();
    let section = section.split("\n## ").next().unwrap();
    let rows = section.lines().filter(|l| l.starts_with("| ") && l.contains('`'));
    let mut count = 0;
    for name in rows.flat_map(|row| row.split('`').skip(1).step_by(2)) {
        count += 1;
        assert!(code.contains(&format!("fn {name}(")), "no test {name}");
    }
    assert!(count > 20);
}
