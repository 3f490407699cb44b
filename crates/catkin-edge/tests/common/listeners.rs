//! Which process listens at a port.

use std::fs;

/// State of a listening socket in `/proc/net/tcp`.
const LISTEN: &str = "0A";

/// Returns whether a process has a socket that listens at a port of loopback.
pub(crate) fn listens(process: u32, port: u16) -> bool {
    let sockets = fs::read_to_string(format!("/proc/{process}/net/tcp")).unwrap_or_default();
    let local = format!("0100007F:{port:04X}");
    let inode = sockets.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.get(1) == Some(&&*local) && fields.get(3) == Some(&LISTEN)).then(|| fields[9].to_owned())
    });
    let Some(inode) = inode else { return false };
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let link = format!("socket:[{inode}]");
    files.filter_map(|file| fs::read_link(file.path()).ok()).any(|to| to.as_os_str() == &*link)
}
