//! Checks configurations off the engine's thread, and shares the one in force.

use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;

use bytes::Bytes;
use endivestile_config::model::Config;
use endivestile_config::{ConfigError, check, check_change, parse};
use endivestile_kernel::Event;

use crate::error::RunError;
use crate::inbox::Inbox;

/// The configuration in force, as all threads see it.
#[derive(Debug, Clone, Default)]
pub(crate) struct CurrentConfig {
    /// None until one was adopted.
    config: Arc<RwLock<Option<Arc<Config>>>>,
}

impl CurrentConfig {
    /// Returns the configuration in force.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force unless a later one is.
    pub(crate) fn update_if_newer(&self, config: &Arc<Config>) {
        let mut held = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if held.as_ref().is_none_or(|held| held.revision < config.revision) {
            *held = Some(Arc::clone(config));
        }
    }
}

/// A text that claims to be a configuration.
#[derive(Debug)]
struct Offer {
    /// Where it came from, for the log.
    origin: &'static str,
    /// The text.
    text: Bytes,
}

/// Checks configurations in a thread of its own: a text of a megabyte takes
/// long enough to delay every call that waits behind it.
#[derive(Debug, Clone)]
pub(crate) struct ConfigChecker {
    /// Texts to check.
    offers: Sender<Offer>,
}

impl ConfigChecker {
    /// Starts the thread.
    pub(crate) fn start(inbox: Inbox, adopted: CurrentConfig) -> Result<Self, RunError> {
        let (offers, texts) = channel();
        let thread = thread::Builder::new().name("configs".to_owned());
        let work = move || texts.iter().for_each(|offer| judge(&inbox, &adopted, &offer));
        thread.spawn(work).map_err(|source| RunError::Thread { step: "check-configs", source })?;
        Ok(Self { offers })
    }

    /// Hands in a text from `origin`.
    pub(crate) fn enqueue(&self, origin: &'static str, text: Bytes) {
        let _ = self.offers.send(Offer { origin, text });
    }
}

/// Checks a text and hands it to the kernel.
///
/// A value that was written past the operators' tools may be anything. Taken
/// over unchecked it would stop every host at once; so the one in force stays,
/// and the log says which key is at fault.
fn judge(inbox: &Inbox, adopted: &CurrentConfig, offer: &Offer) {
    match read(adopted, offer) {
        Ok(None) => {}
        Ok(Some(config)) => {
            let text = Bytes::from(config.canonical());
            inbox.post_event(Event::Config { config: Arc::new(config), text });
        }
        Err(reason) => {
            log::error!("event=config_refused origin={} reason={reason:?}", offer.origin);
        }
    }
}

/// Reads a text; none when it is no later than what is in force.
fn read(adopted: &CurrentConfig, offer: &Offer) -> Result<Option<Config>, String> {
    let text = std::str::from_utf8(&offer.text).map_err(|e| e.to_string())?;
    let config = parse(text, offer.origin).map_err(|e| e.to_string())?;
    check(&config).map_err(|errors| joined(&errors))?;
    let Some(old) = adopted.get() else { return Ok(Some(config)) };
    if config.revision <= old.revision {
        return Ok(None);
    }
    // Another number of shards would send the same id to another home.
    check_change(&old, &config).map_err(|errors| joined(&errors))?;
    Ok(Some(config))
}

fn joined(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
