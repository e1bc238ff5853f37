//! Test handle of the store stand-in.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use endivestile_wire::key;
use endivestile_wire::store::kv_server::KvServer;
use endivestile_wire::store::lease_server::LeaseServer;
use endivestile_wire::store::watch_server::WatchServer;
use tokio::runtime::Builder;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use super::Shared;
use super::fault::CallCounts;
use super::service::StoreService;
use crate::lock::lock;

/// Interval at which expired leases are removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 50;
/// Largest message, in bytes; above the platform's limit of one megabyte per value.
const MAX_MESSAGE_LEN: usize = 8 << 20;

/// An in-memory key-value store that serves an etcd v3 subset on 127.0.0.1.
///
/// Dropping it closes its port and all connections.
#[derive(Debug)]
pub struct StoreStandIn {
    /// Listen address.
    address: SocketAddr,
    /// State shared with the service.
    shared: Arc<Shared>,
    /// Thread of the service, taken on drop.
    thread: Option<JoinHandle<()>>,
}

impl StoreStandIn {
    /// Starts an empty store on an ephemeral port.
    ///
    /// # Errors
    /// Returns an error when the listener or the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let service = StoreService { shared: Arc::clone(&shared) };
        let thread = thread::Builder::new().name("store".into()).spawn(move || {
            // Callers see a stand-in that fails to serve as a store that is down.
            if let Err(err) = serve(listener, service) {
                eprintln!("event=store_stand_in_failed error={err:?}");
            }
        })?;
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all watches and refuses every call until [`Self::bring_up`].
    pub fn take_down(&self) {
        lock(&self.shared.faults).down = true;
        lock(&self.shared.keyspace).close_watches();
    }

    /// Blocks every call without an answer until [`Self::bring_up`].
    pub fn hang_calls(&self) {
        lock(&self.shared.faults).hang = true;
    }

    /// Ends [`Self::take_down`] and [`Self::hang_calls`], and renews every lease.
    pub fn bring_up(&self) {
        lock(&self.shared.keyspace).renew_all();
        let mut faults = lock(&self.shared.faults);
        faults.down = false;
        faults.hang = false;
        self.shared.up.notify_waiters();
    }

    /// Delays every call by `ms` milliseconds; 0 ends the delay.
    pub fn delay_calls(&self, ms: u64) {
        lock(&self.shared.faults).delay_ms = ms;
    }

    /// Makes the next `count` writes take effect without returning an answer.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.shared.faults).answers_to_lose = count;
    }

    /// Refuses the next `count` calls without effect.
    pub fn refuse_calls(&self, count: u32) {
        lock(&self.shared.faults).calls_to_refuse = count;
    }

    /// Returns the number of calls so far and of watches open now.
    pub fn counts(&self) -> CallCounts {
        let waiting = lock(&self.shared.keyspace).open_watches() as u64;
        CallCounts { waiting, ..*lock(&self.shared.counts) }
    }

    /// Writes a key regardless of the faults and returns its revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> i64 {
        let mut keyspace = lock(&self.shared.keyspace);
        keyspace.put(key.as_bytes().to_vec(), value.into(), 0);
        keyspace.commit();
        keyspace.revision()
    }

    /// Deletes a key regardless of the faults.
    pub fn delete(&self, key: &str) {
        let mut keyspace = lock(&self.shared.keyspace);
        keyspace.delete(key.as_bytes(), &[]);
        keyspace.commit();
    }

    /// Reads a key regardless of the faults.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared.keyspace).get(key.as_bytes()).map(|kv| kv.value.clone())
    }

    /// Returns the keys and values with a prefix, regardless of the faults.
    pub fn list(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let found = lock(&self.shared.keyspace).range(prefix.as_bytes(), &key::range_end(prefix));
        found
            .into_iter()
            .map(|kv| (String::from_utf8_lossy(&kv.key).into_owned(), kv.value))
            .collect()
    }

    /// Sets a host's state in the platform's list of hosts: `live`, `leaving` or `gone`.
    pub fn set_host_state(&self, name: &str, state: &str) {
        self.put(&format!("{}{name}", key::PLATFORM_HOSTS), state);
    }
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.shared.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the service.
            let _ = thread.join();
        }
    }
}

fn serve(listener: TcpListener, service: StoreService) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        let shared = Arc::clone(&service.shared);
        let incoming = TcpListenerStream::new(tokio::net::TcpListener::from_std(listener)?);
        let serving = Server::builder()
            .tcp_nodelay(true)
            .add_service(
                KvServer::new(service.clone())
                    .max_decoding_message_size(MAX_MESSAGE_LEN)
                    .max_encoding_message_size(MAX_MESSAGE_LEN),
            )
            .add_service(
                WatchServer::new(service.clone()).max_encoding_message_size(MAX_MESSAGE_LEN),
            )
            .add_service(LeaseServer::new(service))
            .serve_with_incoming(incoming);
        // Dropping the server closes open calls and watches, as when a real store stops.
        tokio::select! {
            result = serving => result?,
            () = expire_leases(&shared) => {}
            () = shared.stop.notified() => {}
        }
        Ok(())
    })
}

/// Removes expired leases periodically. No lease expires while the store is down or hangs.
async fn expire_leases(shared: &Shared) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        let paused = {
            let faults = lock(&shared.faults);
            faults.down || faults.hang
        };
        if !paused {
            let sent = lock(&shared.keyspace).expire_leases(Instant::now());
            lock(&shared.counts).events += sent;
        }
    }
}
