//! Processes of `catkin-edge`, started with the command of the deploy file and with
//! the settings that its template makes of those of a small deployment.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Memory of a machine of the small deployments, in MB.
const MEMORY_MB: u64 = 260;

/// A process, which is killed when the value is dropped.
pub struct Edge {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub child: Child,
    settings: PathBuf,
}

/// Starts a process with the command of the deploy file.
fn spawn(settings: &Path, log: File) -> Child {
    Command::new("target/release/catkin-edge")
        .args(["--settings-from", "CATKINHUB_CONFIG"])
        .env("CATKINHUB_CONFIG", settings)
        .env("CATKIN_MEMORY_MB", MEMORY_MB.to_string())
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log can be written"))
        .stderr(log)
        .spawn()
        .expect("catkin-edge starts")
}

/// Returns a free address. The addresses of each run have a host of their own, so that
/// nothing else takes a port before the process listens there.
fn free_addr() -> SocketAddr {
    let [.., a, b] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 43, a, b.clamp(1, 254));
    let listener = TcpListener::bind((host, 0)).expect("free port");
    listener.local_addr().expect("bound socket")
}

impl Edge {
    /// Starts a process of a system that starts for the first time. Its logs go to a file
    /// in the folder.
    pub fn start(folder: &Path, name: &str, store: SocketAddr) -> Self {
        Self::start_with(folder, name, store, true)
    }

    /// Starts a process. Its logs go to a file in the folder.
    pub fn start_with(folder: &Path, name: &str, store: SocketAddr, bootstrap: bool) -> Self {
        let (callers, admin, metrics, peers) = (free_addr(), free_addr(), free_addr(), free_addr());
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "vm: {name}\nzone: sur-a\ncallers: {callers}\nadmin: {admin}\nmetrics: {metrics}\npeers: {peers}\nstore: {store}\ncores: 0.2\nbandwidth: 1000.0\nbootstrap: {bootstrap}\nheartbeat_ms: 870\nbounds: [\"drainMs=2000\",\"graceS=6\",\"lossSlackMs=200\",\"configApplyMs=2000\",\"retryBudgetRatio=0.2\",\"budgetWindowS=10\",\"retryBudgetSlack=56\",\"holdMaxMs=10000\"]\nlogs: json\n"
        );
        fs::write(&settings, text).expect("settings can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("log can be written");
        let child = spawn(&settings, log);
        Self { callers, admin, child, settings }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) {
        let log = File::options().append(true).open(self.settings.with_extension("log"));
        self.child = spawn(&self.settings, log.expect("log can be written"));
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.admin, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let mut bytes = [0; 64];
        let count = stream.read(&mut bytes).unwrap_or(0);
        bytes[..count].starts_with(b"HTTP/1.1 200")
    }

    /// Waits until the process is ready. Returns whether it is in time.
    pub fn await_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
