//! Entry hosts: processes of the project's own daemon, with the template of the deploy file.

use std::collections::BTreeMap;
use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::relay::Relay;

/// The process of one entry host, killed when it is dropped.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub frontend: SocketAddr,
    /// The way of the other hosts to this one.
    pub relay: Relay,
    child: Child,
}

/// Lowest of the ports that are tried; they end below those that the system gives to outgoing
/// connections, since such a connection could take a port before the daemon binds it.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 12_000;

fn free_ports<const N: usize>() -> [SocketAddr; N] {
    let start = process::id().wrapping_mul(97) % PORTS;
    [(); N].map(|()| {
        loop {
            let offset = (start + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % PORTS;
            let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset as u16));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Appends a process id to the file that `PIDS` names, so that `run.sh` ends the process if this
/// one is killed.
fn note_pid(pid: u32) {
    let Some(path) = env::var_os("PIDS") else { return };
    let file = OpenOptions::new().create(true).append(true).open(path);
    let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
}

/// Fills in the project's template.
fn fill(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a field of the template is unknown: {text}");
    text
}

impl Host {
    /// Starts a host with the settings of a small deployment.
    pub fn start(
        root: &Path,
        dir: &Path,
        (name, zone): (&str, &str),
        store: SocketAddr,
        cores: &str,
    ) -> Self {
        let [frontend, ready, internal] = free_ports();
        let values = BTreeMap::from([
            ("Node", name.to_owned()),
            ("Zone", zone.to_owned()),
            ("IpAddress", frontend.ip().to_string()),
            ("BindAddresses.Frontend", frontend.to_string()),
            ("BindAddresses.Ready", ready.to_string()),
            ("InternalPorts.0", internal.port().to_string()),
            ("platform.Address", store.to_string()),
            ("platform.ReadsPerS", "2000".to_owned()),
            ("Bounds.ResendMs", "1300".to_owned()),
            ("Bounds.MaxHoldMs", "1000".to_owned()),
            ("Bounds.GracePeriodS", "6".to_owned()),
            ("Bounds.ConfigApplyMs", "2000".to_owned()),
            ("Bounds.RemoteFactor", "2".to_owned()),
            ("Limits.CpuShare", cores.to_owned()),
            ("Limits.LinkMbps", "1000.0".to_owned()),
        ]);
        let template = fs::read_to_string(root.join("deploy/entry.ini")).expect("the template");
        // The metrics port is the same on all machines; on one machine each host needs its own.
        let [metrics] = free_ports();
        let text = fill(&template, &values).replace(":9464", &format!(":{}", metrics.port()));
        // Other hosts reach this one through a relay, which can reset their connections.
        let relay = Relay::start(internal);
        let text = text.replace("[host]", &format!("[host]\nadvertise = {}", relay.address));
        let settings: PathBuf = dir.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("write the settings");
        let log = File::create(dir.join(format!("{name}.log"))).expect("create the log");
        let errors = log.try_clone().expect("share the log");
        let child = Command::new(root.join("target/release/endivestile"))
            .arg("--config")
            .arg(&settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("start the daemon");
        note_pid(child.id());
        Self { name: name.to_owned(), zone: zone.to_owned(), frontend, relay, child }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
