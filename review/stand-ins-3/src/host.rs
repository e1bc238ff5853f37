//! Entry hosts: the project's daemon, started with the command of the deploy file and the project's
//! template of settings, filled in as for a small deployment.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

/// Port of the metrics page in the template, which is the same on all machines.
const PAGE_PORT: u16 = 9464;

/// Processes that were started and have not been ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for id in STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// An entry host.
pub struct Host {
    pub name: String,
    pub http: SocketAddr,
    child: Child,
}

impl Host {
    /// Starts a host at a loopback address of its own.
    pub fn start(
        root: &Path,
        dir: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        mechanisms: &[&str],
    ) -> io::Result<Self> {
        let ip = free_ip()?;
        let (http, ready, peers) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let values = [
            ("Node", name.to_owned()),
            ("Zone", zone.to_owned()),
            ("BindAddresses.Frontend", http.to_string()),
            ("BindAddresses.Ready", ready.to_string()),
            ("IpAddress", ip.to_string()),
            ("InternalPorts.0", peers.port().to_string()),
            ("Limits.MemoryMb", "260".to_owned()),
            ("Limits.FileDescriptors", "4100".to_owned()),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Limits.LinkMbps", "1000.0".to_owned()),
            ("platform.Address", store.to_string()),
            ("platform.ReadsPerS", "2000".to_owned()),
            ("Bounds.ResendMs", "1300".to_owned()),
            ("Bounds.MaxHoldMs", "1000".to_owned()),
            ("Bounds.GracePeriodS", "6".to_owned()),
            ("Bounds.ConfigApplyMs", "2000".to_owned()),
            ("Bounds.RemoteFactor", "2".to_owned()),
        ];
        let mut text = fs::read_to_string(root.join("deploy/entry.ini"))?;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        if !mechanisms.is_empty() {
            let lines = text.lines().map(|line| match line.strip_prefix("with = ") {
                Some(_) => format!("with = {}", mechanisms.join(", ")),
                None => line.to_owned(),
            });
            text = lines.collect::<Vec<_>>().join("\n");
        }
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|line| line.strip_suffix('"')).unwrap_or_default();
        let place = |word: &str| {
            let is_settings = word == "/etc/endivestile/local.conf";
            if is_settings { settings.to_string_lossy().into_owned() } else { word.to_owned() }
        };
        let mut command: Vec<String> = run.split(' ').map(place).collect();
        command[0] = root.join(&command[0]).to_string_lossy().into_owned();
        let log = dir.join(format!("{name}.log"));
        let child = spawn(&command, &log)?;
        Ok(Self { name: name.to_owned(), http, child })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|other| *other != id);
    }

    /// Returns how the process ended, or `None` if it runs.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok()?.map(|status| status.to_string())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(command: &[String], log: &Path) -> io::Result<Child> {
    let out = File::create(log)?;
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    let child = Command::new(&command[0])
        .args(&command[1..])
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()?;
    started.push(child.id());
    Ok(child)
}

/// Returns a loopback address at which the port of the metrics page is free, another one for each
/// host.
fn free_ip() -> io::Result<Ipv4Addr> {
    static STEP: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id();
    for _ in 0..20_000 {
        let step = STEP.fetch_add(1, Ordering::Relaxed);
        // Scripts that run side by side are 4,096 addresses apart.
        let number = base.wrapping_mul(4_096).wrapping_add(step);
        let [_, third, high, low] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 + third % 128, high, low);
        let usable = (1..255).contains(&low);
        if usable && TcpListener::bind((ip, PAGE_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no free loopback address"))
}

fn free_port(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}
