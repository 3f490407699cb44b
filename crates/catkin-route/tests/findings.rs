//! Compares the codes of findings with the table in `docs/ERRORS.md`.

use catkin_route::config::{FindingCode, Severity};

const PAGE: &str = include_str!("../../../docs/ERRORS.md");

/// Guards against a missing, extra or outdated row in the operators' table.
#[test]
fn docs_table_lists_exactly_the_findings() {
    let rows: Vec<&str> = PAGE.lines().filter(|line| line.starts_with("| `")).collect();
    let row = |code: &FindingCode| {
        let error = code.error_code().map_or("-".to_owned(), |code| code.to_string());
        let (severity, meaning, advice) = (code.severity(), code.meaning(), code.advice());
        format!("| `{code}` | {severity} | {error} | {meaning} | {advice} |")
    };
    let expected: Vec<String> = FindingCode::ALL.iter().map(row).collect();
    assert_eq!(rows, expected);
}

/// Guards against an error that names no number although processes refuse the
/// configuration, and against codes that are not stable words.
#[test]
fn codes_are_words_and_errors_come_first() {
    let severities: Vec<Severity> = FindingCode::ALL.iter().map(|code| code.severity()).collect();
    let errors = severities.iter().take_while(|severity| **severity == Severity::Error).count();
    assert!(severities[errors..].iter().all(|severity| *severity < Severity::Error));
    for code in FindingCode::ALL {
        let text = code.to_string();
        assert!(text.chars().all(|c| c.is_ascii_lowercase() || c == '_'), "{text}");
    }
}
