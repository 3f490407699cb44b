//! Journal of runs on disk, which survives the end of the process of a target.

use {
    crate::ledger::{Counts, Interval, Ledger, Run},
    catkin::{
        Code, Error,
        types::{Service, TargetId},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fs::{File, OpenOptions, read_to_string},
        io::Write,
        path::Path,
        sync::Arc,
    },
};

/// A line of a journal, in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line {
    target: TargetId,
    service: Service,
    boot: u64,
    operation: Arc<str>,
    run: Run,
}

/// Appends the runs of one incarnation to a file.
pub(crate) struct Journal {
    file: File,
    target: TargetId,
    service: Service,
    boot: u64,
}

impl Journal {
    /// Opens a file for appending; creates it if it does not exist.
    pub(crate) fn open(path: &Path, target: TargetId, service: Service, boot: u64) -> Result<Self, Error> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.map_err(|e| unreadable(path, &e))?;
        Ok(Self { file, target, service, boot })
    }

    /// Appends a run. When this returns, the run survives a kill of the
    /// process, but not a crash of the machine.
    pub(crate) fn write(&mut self, operation: &Arc<str>, run: &Run) -> Result<(), Error> {
        let line = Line {
            target: self.target.clone(),
            service: self.service.clone(),
            boot: self.boot,
            operation: operation.clone(),
            run: run.clone(),
        };
        let mut text = serde_json::to_string(&line).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        text.push('\n');
        self.file.write_all(text.as_bytes()).map_err(|e| Error::new(Code::Internal, e.to_string()))
    }
}

/// Reads a journal and returns one ledger for each incarnation (`boot`). A journal
/// holds runs only: `owned` is empty, and only `ran` is counted.
///
/// # Errors
///
/// `Code::UnreadableFile` if the file can't be read or a line can't be parsed.
pub fn read_journal(path: &Path) -> Result<Vec<Ledger>, Error> {
    let text = read_to_string(path).map_err(|e| unreadable(path, &e))?;
    let mut ledgers: BTreeMap<u64, Ledger> = BTreeMap::new();
    for text in text.lines() {
        let line: Line = serde_json::from_str(text).map_err(|e| unreadable(path, &e))?;
        let ledger = ledgers.entry(line.boot).or_insert_with(|| empty_ledger(&line));
        ledger.counts.ran += 1;
        extend_served(&mut ledger.served, &line.run);
        ledger.runs.entry(line.operation).or_default().push(line.run);
    }
    Ok(ledgers.into_values().collect())
}

fn empty_ledger(line: &Line) -> Ledger {
    Ledger {
        target: line.target.clone(),
        service: line.service.clone(),
        boot: line.boot,
        counts: Counts::default(),
        runs: BTreeMap::new(),
        owned: Vec::new(),
        served: Vec::new(),
        drained: None,
        arrived: None,
    }
}

fn extend_served(served: &mut Vec<Interval>, run: &Run) {
    let Some(held) = run.held else { return };
    let found = served.iter_mut().find(|old| (old.slice, old.fence) == (held.slice, held.fence));
    match found {
        Some(old) => (old.from, old.until) = (old.from.min(run.from), old.until.max(run.at)),
        None => {
            let interval = Interval { slice: held.slice, fence: held.fence, from: run.from, until: run.at };
            served.push(interval);
        }
    }
}

fn unreadable(path: &Path, error: &dyn std::error::Error) -> Error {
    Error::new(Code::UnreadableFile, format!("{}: {error}", path.display()))
}
