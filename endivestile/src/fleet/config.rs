//! Takes the operator's configuration from the store.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_kernel::fleet::FleetEvent;
use endivestile_wire::adapter::Adapter;

use super::feed::Sink;
use super::inbox::Inbox;

/// Reads configurations; one that cannot be read leaves the last in force.
#[derive(Debug)]
pub(crate) struct Configs {
    /// The translation.
    pub(crate) adapter: &'static Adapter,
    /// The engine.
    pub(crate) inbox: Inbox,
}

impl Sink for Configs {
    fn store(&mut self, up: bool) {
        self.inbox.event(FleetEvent::Store(up));
    }

    fn tell(&mut self, key: &str, revision: u64, value: Option<Bytes>) {
        if key != self.adapter.keys.config {
            return;
        }
        let Some(value) = value else {
            log::error!("event=config_deleted step=read-config key={key}");
            return;
        };
        match (self.adapter.table)(&value) {
            Ok(table) => self.inbox.event(FleetEvent::Table(Arc::new(table))),
            Err(e) => {
                log::error!(
                    "event=config_refused step=read-config revision={revision} error={e:?}"
                );
            }
        }
    }
}
