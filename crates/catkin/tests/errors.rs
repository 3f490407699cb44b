//! Compares the codes with the table in `docs/ERRORS.md`.

use catkin::{Code, Error, error::Outcome};

const TABLE: &str = include_str!("../../../docs/ERRORS.md");

fn row(code: Code) -> String {
    format!(
        "| {} | {} | {} | {} | {} | ",
        code.number(),
        code.name(),
        code.outcome().as_str(),
        code.status(),
        code.meaning()
    )
}

/// Guards against a missing, extra or outdated row in the operators' table,
/// and against a row without an action.
#[test]
fn docs_table_lists_exactly_the_codes() {
    let is_row = |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    let rows: Vec<_> = TABLE.lines().filter(is_row).collect();
    assert_eq!(rows.len(), Code::ALL.len());
    for (line, code) in rows.iter().zip(Code::ALL) {
        let action = line.strip_prefix(&row(*code)).unwrap_or_else(|| panic!("{line}"));
        assert!(action.trim_end_matches([' ', '|']).ends_with('.'), "{line}");
    }
}

/// Guards against a code whose outcome differs from that of its group, and
/// against a retry of work that may have run.
#[test]
fn outcome_follows_from_code_group() {
    assert!(Code::ALL.is_sorted());
    for code in Code::ALL {
        let expected = match code.number() / 100 {
            4 => Outcome::NotRun,
            5 => Outcome::Unknown,
            6 => Outcome::Ran,
            _ => Outcome::None,
        };
        assert_eq!(code.outcome(), expected, "{code}");
        assert_eq!(Code::from_number(code.number()), Some(*code));
        let error = Error::new(*code, "");
        assert!(!error.is_retryable() || !(error.is_unknown() || *code == Code::AppendUnknown), "{code}");
    }
}
