//! Handles the keys that operators write to the store: the configuration and zone evacuations.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{EvacuationState, FleetEvent, ReadShare};
use endivestile_wire::adapter::Adapter;
use tokio::sync::Notify;

use super::inbox::Inbox;
use super::prefix_watch::KeyHandler;

/// Handles the operators' keys. A configuration that cannot be read leaves the last one
/// in place. A zone is evacuated while its key exists, whatever its value is.
#[derive(Debug)]
pub(crate) struct OperatorKeys {
    /// The platform adapter.
    pub(crate) adapter: &'static Adapter,
    /// The engine's inbox.
    pub(crate) inbox: Inbox,
    /// Longest wait of one watch, in milliseconds.
    pub(crate) watch_ms: u32,
    /// Signals that the keys have to be read now.
    pub(crate) read_now: Arc<Notify>,
}

impl KeyHandler for OperatorKeys {
    fn read_share(&self) -> ReadShare {
        ReadShare::OperatorKeys
    }

    fn watch_wait_ms(&self) -> u32 {
        self.watch_ms
    }

    async fn reload_requested(&self) {
        self.read_now.notified().await;
    }

    fn handle_store_state(&mut self, up: bool) {
        self.inbox.post_event(FleetEvent::StoreAvailable(up));
    }

    fn handle_key(&mut self, key: &str, revision: u64, value: Option<Bytes>) {
        let keys = &self.adapter.keys;
        if let Some(zone) = key.strip_prefix(keys.evacuation_prefix) {
            let evacuated = value.is_some();
            let state = EvacuationState { zone: Name::from(zone), revision, evacuated };
            self.inbox.post_event(FleetEvent::Evacuation(state));
        } else if key == keys.config_key {
            self.handle_config(key, revision, value);
        }
    }

    fn handle_loaded(&mut self, revision: u64) {
        self.inbox.post_event(FleetEvent::EvacuationsRead(revision));
    }
}

impl OperatorKeys {
    fn handle_config(&self, key: &str, revision: u64, value: Option<Bytes>) {
        let Some(value) = value else {
            log::error!("event=config_deleted step=read-config key={key}");
            return;
        };
        match (self.adapter.decode_routes)(&value) {
            Ok(table) => self.inbox.post_event(FleetEvent::Routes(Arc::new(table))),
            Err(e) => {
                log::error!(
                    "event=config_refused step=read-config revision={revision} error={e:?}"
                );
            }
        }
    }
}
