//! Entry hosts as processes: the daemon of the deploy file with its filled-in template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Fills in the template and starts the daemon.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        ip: [u8; 4],
        store: SocketAddr,
        cores: &str,
    ) -> std::io::Result<Self> {
        let listen = || TcpListener::bind(SocketAddr::from((ip, 0)));
        // Held together, so that the three ports differ.
        let held = [listen()?, listen()?, listen()?];
        let [address, ready, peers] =
            [held[0].local_addr()?, held[1].local_addr()?, held[2].local_addr()?];
        drop(held);
        let ip = peers.ip().to_string();
        let fields = [
            ("Node", name.to_owned()),
            ("Zone", zone.to_owned()),
            ("BindAddresses.Frontend", address.to_string()),
            ("BindAddresses.Ready", ready.to_string()),
            ("IpAddress", ip),
            ("InternalPorts.0", peers.port().to_string()),
            ("platform.Address", store.to_string()),
            ("platform.ReadsPerS", "2000".to_owned()),
            ("Bounds.ResendMs", "1300".to_owned()),
            ("Bounds.MaxHoldMs", "1000".to_owned()),
            ("Bounds.GracePeriodS", "6".to_owned()),
            ("Bounds.ConfigApplyMs", "2000".to_owned()),
            ("Limits.CpuShare", cores.to_owned()),
            ("Limits.LinkMbps", "1000.0".to_owned()),
            ("Bounds.RemoteFactor", "2".to_owned()),
        ];
        let mut text = fs::read_to_string(root.join("deploy/entry.ini"))?;
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let root = root.to_owned();
        let mut host =
            Self { name: name.to_owned(), address, ready, settings, log, root, child: None };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process, also again after it ended.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.root.join("target/release/endivestile"))
            .arg("--config")
            .arg(&self.settings)
            .env("ENDIVESTILE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Makes the load balancer's readiness check.
    pub fn ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET",
            "/readiness",
            "Host: x\r\n",
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Host {
    /// Returns the end of the log.
    pub fn last_lines(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.join(" / ")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
