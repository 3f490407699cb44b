//! Processes of the entry program, started with the command and the template of
//! the deploy file.

use {
    std::{
        fs::{self, File},
        io::{self, Read, Write},
        net::{IpAddr, SocketAddr, TcpListener},
        path::Path,
        process::{Child, Command, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

pub struct Edge {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    child: Child,
    /// Whether the collector of logs reads nothing.
    pub logs_paused: Arc<AtomicBool>,
}

fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Values of the settings of a machine.
pub struct Values {
    pub plain: Vec<(&'static str, String)>,
    /// Bounds by name.
    pub bounds: Vec<(&'static str, String)>,
}

/// Fills in a template as the platform does, as far as `platform/edge.yaml`
/// needs it. The bounds are a table there: in its section `{{.}}` is a value and
/// `{{@}}` is its name, as `fleetbench wire` shows.
pub fn render(template: &str, values: &Values) -> Option<String> {
    let mut text = template.to_owned();
    if let Some((before, rest)) = text.clone().split_once("{{#bounds}}") {
        let (section, after) = rest.split_once("{{/bounds}}")?;
        let count = values.bounds.len();
        let entries = values.bounds.iter().enumerate().map(|(i, (name, value))| {
            let comma = if i + 1 < count { "," } else { "" };
            section.replace("{{.}}", value).replace("{{@}}", name).replace("{{,}}", comma)
        });
        text = format!("{before}{}{after}", entries.collect::<String>());
    }
    for (name, value) in &values.plain {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    (!text.contains("{{")).then_some(text)
}

impl Edge {
    /// Starts a process on a machine with an address of its own.
    pub fn start(name: &str, ip: IpAddr, store: SocketAddr, bounds: &[(&'static str, &str)], folder: &Path) -> io::Result<Self> {
        let (callers, admin) = (SocketAddr::new(ip, free_port(ip)?), SocketAddr::new(ip, free_port(ip)?));
        let values = Values {
            plain: vec![
                ("nodeName", name.to_owned()),
                ("zone", "z-a".to_owned()),
                ("ip", ip.to_string()),
                ("listen.front", callers.to_string()),
                ("listen.ready", admin.to_string()),
                ("internalPorts.0", free_port(ip)?.to_string()),
                ("platform.address", store.to_string()),
                ("limits.cpuShare", "0.2".to_owned()),
                ("limits.linkMbps", "1000.0".to_owned()),
                ("bootstrap", "true".to_owned()),
                ("heartbeatMs", "870".to_owned()),
            ],
            bounds: bounds.iter().map(|(name, value)| (*name, (*value).to_owned())).collect(),
        };
        let template = fs::read_to_string("platform/edge.yaml")?;
        let text = render(&template, &values).ok_or_else(|| io::Error::other("template not filled in"))?;
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let mut child = spawn(&settings)?;
        let logs_paused = Arc::<AtomicBool>::default();
        if let Some(stdout) = child.stdout.take() {
            let (log, paused) = (File::create(log)?, logs_paused.clone());
            thread::spawn(move || collect(stdout, log, &paused));
        }
        Ok(Self { callers, admin, child, logs_paused })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that was not waited for.
        let _ = unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Returns whether the process says that it takes connections.
    pub fn is_ready(&self) -> bool {
        let answer = crate::client::once(self.admin, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads what a process logs, as the platform does, and keeps it in a file.
fn collect(mut stdout: impl Read, mut log: File, paused: &AtomicBool) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        while paused.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        match stdout.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => drop(log.write_all(&buffer[..count])),
        }
    }
}

/// Starts the command of the deploy file.
fn spawn(settings: &Path) -> io::Result<Child> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let mut words = run.ok_or_else(|| io::Error::other("no command in the deploy file"))?.split(' ');
    let program = words.next().unwrap_or("");
    let mut command = Command::new(program);
    command.args(words).env_clear().env("CATKINHUB_CONFIG", settings);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()
}
