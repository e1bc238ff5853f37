//! Keeps up with the workers' registrations.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use endivestile_kernel::fleet::{FleetEvent, WorkerEntry};
use endivestile_wire::adapter::{Item, StoreFault};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::inbox::Inbox;
use super::reader::Reader;

/// Time between two readings of a host that owns workers, in milliseconds: a
/// worker that says it is leaving gets nothing new after two seconds.
const OWNER_MS: u64 = 450;
/// Time between two readings of another host, in milliseconds.
const OTHER_MS: u64 = 1_500;
/// Time for which entries may be missing after the store was away, in
/// milliseconds: workers that live register anew within two seconds.
const RETURN_MS: u64 = 2_500;

/// Tells when this host owns workers and needs the list more often.
#[derive(Debug, Clone, Default)]
pub(crate) struct Need {
    owner: Arc<AtomicBool>,
    changed: Arc<Notify>,
}

impl Need {
    /// Sets whether this host owns workers.
    pub(crate) fn set(&self, owner: bool) {
        if self.owner.swap(owner, Ordering::Relaxed) != owner && owner {
            self.changed.notify_one();
        }
    }

    async fn wait(&self) {
        let ms = if self.owner.load(Ordering::Relaxed) { OWNER_MS } else { OTHER_MS };
        let _ = timeout(Duration::from_millis(ms), self.changed.notified()).await;
    }
}

/// An entry as it was last read.
struct Known {
    revision: u64,
    entry: Option<WorkerEntry>,
}

/// Reads the list again and again until the process ends.
pub(crate) async fn run(reader: Reader, inbox: Inbox, need: Need) {
    let mut known: HashMap<String, Known> = HashMap::new();
    let mut failed = Instant::now();
    loop {
        match reader.range(reader.adapter.keys.workers, false).await {
            Ok(page) => {
                let returning = failed.elapsed() < Duration::from_millis(RETURN_MS);
                update(&reader, &mut known, page.items, returning);
                let entries = known.values().filter_map(|known| known.entry.clone());
                let mut workers: Vec<WorkerEntry> = entries.collect();
                workers.sort_by(|a, b| a.id.cmp(&b.id));
                inbox.event(FleetEvent::Workers(workers));
                need.wait().await;
            }
            Err(fault) => {
                failed = Instant::now();
                let pause = if fault == StoreFault::Busy { OWNER_MS } else { OWNER_MS / 2 };
                sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

/// Takes a reading over. Registrations may lapse while the store is away; the
/// workers serve on, so that a missing entry is kept until they are back.
fn update(reader: &Reader, known: &mut HashMap<String, Known>, items: Vec<Item>, returning: bool) {
    let prefix = reader.adapter.keys.workers;
    let mut seen: HashMap<String, Known> = HashMap::with_capacity(items.len());
    for item in items {
        let Some(id) = item.key.strip_prefix(prefix) else { continue };
        let old = known.remove(id).filter(|old| old.revision == item.revision);
        let fresh = || {
            let value = item.value.as_ref()?;
            let entry = (reader.adapter.worker)(id, value);
            if entry.is_none() {
                log::debug!("event=entry_refused step=read-worker id={id}");
            }
            entry
        };
        let entry = old.map_or_else(fresh, |old| old.entry);
        seen.insert(id.to_owned(), Known { revision: item.revision, entry });
    }
    if returning {
        seen.extend(known.drain());
    }
    *known = seen;
}
