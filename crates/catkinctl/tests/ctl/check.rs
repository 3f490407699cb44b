//! Tests of `catkinctl check` with configurations of the platform.

use {
    crate::exit::run,
    serde_json::{Value, json},
    std::{fs, path::PathBuf},
};

/// A configuration in a file, which is removed when this is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("catkinctl-check-{}-{name}", std::process::id()));
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Returns a configuration with one route.
fn document(version: &str, timeout_ms: i64, attempts: u32) -> Value {
    json!({
        "configVersion": version,
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "listeners": [{ "hostname": "h.example", "rules": [{
            "name": "r", "kind": "non_idempotent", "match": { "pathPrefix": "/a/" },
            "action": { "service": "s", "timeoutMs": timeout_ms, "maxAttempts": attempts },
        }] }],
        "clusters": [{ "name": "s" }],
    })
}

/// Guards against exit codes by which a script sends a configuration that is
/// refused, or holds back one with remarks only.
#[test]
fn exit_codes_follow_the_severity() {
    let check = |name: &str, text: &str| {
        let file = File::new(name, text);
        let (code, output, errors) = run(&["check", file.path()]);
        assert_eq!(errors, "");
        (code, output)
    };
    let clean = check("clean", &document("c", 1000, 1).to_string());
    assert_eq!(clean, (0, "accepted: 1 routes, 1 services; 0 errors, 0 warnings, 0 infos\n".to_owned()));
    assert_eq!(check("info", &document("c", 1000, 2).to_string()).0, 0);
    let mut unused = document("c", 1000, 1);
    unused["clusters"].as_array_mut().unwrap().push(json!({ "name": "t" }));
    assert_eq!(check("warning", &unused.to_string()).0, 1);
    let (code, output) = check("error", &document("c", -1, 1).to_string());
    assert_eq!(code, 2);
    let start = "error below_zero at listeners[0].rules[0].action.timeoutMs: timeoutMs is -1, allowed";
    assert!(output.starts_with(start), "{output}");
    let (code, output) = check("cut", "{\"configVersion\":\"c\",");
    assert_eq!(code, 2);
    assert!(output.starts_with("error cut_short at line 1 column 21: EOF while parsing"), "{output}");
}

/// Guards against JSON that lacks what a script needs, and against a comparison
/// whose findings do not count.
#[test]
fn comparison_is_printed_as_json() {
    let old = File::new("old", &document("c", 1000, 1).to_string());
    let new = File::new("new", &document("d", 900, 1).to_string());
    let (code, output, _) = run(&["check", new.path(), "--against", old.path(), "--output", "json"]);
    assert_eq!(code, 1);
    let report: Value = serde_json::from_str(&output).unwrap();
    let expected = json!({
        "accepted": true, "routes": 1, "services": 1,
        "findings": [{
            "location": "listeners[0].rules[0].action.timeoutMs", "severity": "warning",
            "code": "timeout_shortened", "message": "requests for /a/ had 1s, now 900ms",
            "advice": report["findings"][0]["advice"],
        }],
        "changes": [
            { "subject": "route h.example/a/", "field": "targetLatencyMs", "old": "1s", "new": "900ms" },
            { "subject": "route h.example/a/", "field": "action.timeoutMs", "old": "1s", "new": "900ms" },
        ],
    });
    assert_eq!(report, expected);
    let (code, output, _) = run(&["check", old.path(), "--against", new.path()]);
    assert_eq!(code, 2);
    assert!(
        output.starts_with("error old_version at configVersion: version c is not later than d"),
        "{output}"
    );
    assert_eq!(run(&["check", new.path(), "--against", "no-such-file.json"]).0, 64);
}
