//! Tests of the exit codes and output streams of the program.

use std::process::Command;

const EXAMPLE: &str = "../../examples/socavon/fleet.yaml";
const INVALID: &str = "../catkin/tests/broken/fleet/no-reason.yaml";

pub(crate) fn run(arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_catkinctl")).args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

/// Guards against an exit code that makes a script take a refusal or a usage error
/// for success.
#[test]
fn exit_codes_distinguish_refusal_from_wrong_usage() {
    let valid = run(&["check", EXAMPLE, "--output", "json"]);
    assert_eq!(valid, (0, "{\"services\":4,\"exceptions\":2}\n".to_owned(), String::new()));
    let refused = run(&["check", INVALID]);
    assert_eq!((refused.0, refused.1.as_str()), (1, ""));
    assert!(refused.2.starts_with("catkinctl: E203 at exceptions[0].reason: "), "{}", refused.2);
    let usage: [&[&str]; 5] = [
        &["diff", "no-such-file.yaml", "--with", EXAMPLE],
        &["chek", EXAMPLE],
        &["publish", EXAMPLE, "--log", "log.internal:7000", "--author", "ana"],
        &["publish", EXAMPLE, "--log", "127.0.0.1:9", "--author", " "],
        &["timeline", "--vms", "127.0.0.1:9", "--follow", "--output", "html"],
    ];
    for arguments in usage {
        assert_eq!(run(arguments).0, 2, "{arguments:?}");
    }
    // 1 and 2 tell what was found in a configuration of the platform.
    let usage_of_check: [&[&str]; 4] = [
        &["check", "no-such-file.yaml"],
        &["check"],
        &["check", EXAMPLE, "--aganst", EXAMPLE],
        &["check", EXAMPLE, "--against", EXAMPLE],
    ];
    for arguments in usage_of_check {
        assert_eq!(run(arguments).0, 64, "{arguments:?}");
    }
    assert_eq!(run(&["history", "--log", "127.0.0.1:9"]).0, 1);
    assert_eq!(run(&["--help"]).0, 0);
}
