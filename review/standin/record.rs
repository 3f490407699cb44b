//! Record of a case: what was sent, answered and run.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default(), broken: Arc::default() }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.seconds(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds that the rule was broken.
    pub fn breaks(&self, text: impl AsRef<str>) {
        self.add(format!("BROKEN {}", text.as_ref()));
        self.broken.lock().unwrap().push(text.as_ref().to_owned());
    }

    pub fn broken(&self) -> usize {
        self.broken.lock().unwrap().len()
    }

    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap();
        fs::write(folder.join("record.txt"), lines.join("\n") + "\n")
    }
}
