//! The record of a script: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// File of lines with the time since the start. Clones share it.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    /// Writes a line.
    pub fn write(&self, line: &str) {
        let at = self.0.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.0.lock().expect("lock"), "{at:8.3} {line}");
    }

    /// Writes a line and prints it.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}
