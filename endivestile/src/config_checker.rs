//! Checks configurations outside the engine's thread, and shares the current one.

use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;

use bytes::Bytes;
use endivestile_config::model::Config;
use endivestile_config::{ConfigError, check, check_change, parse};
use endivestile_kernel::Event;

use crate::error::RunError;
use crate::inbox::Inbox;

/// The current configuration, shared by all threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct CurrentConfig {
    /// `None` until the first configuration is adopted.
    config: Arc<RwLock<Option<Arc<Config>>>>,
}

impl CurrentConfig {
    /// Returns the current configuration.
    pub(crate) fn get(&self) -> Option<Arc<Config>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the current configuration if `config` has a higher revision.
    pub(crate) fn update_if_newer(&self, config: &Arc<Config>) {
        let mut slot = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if slot.as_ref().is_none_or(|current| current.revision < config.revision) {
            *slot = Some(Arc::clone(config));
        }
    }
}

/// A configuration text that has not been parsed or checked.
#[derive(Debug)]
struct UncheckedConfig {
    /// Where the text came from, for the log.
    origin: &'static str,
    /// The configuration text.
    text: Bytes,
}

/// Checks configurations in a separate thread: parsing a text of a megabyte in
/// the engine's thread would delay every call queued behind it.
#[derive(Debug, Clone)]
pub(crate) struct ConfigChecker {
    /// Queue of texts to check.
    queue: Sender<UncheckedConfig>,
}

impl ConfigChecker {
    /// Starts the thread.
    pub(crate) fn start(inbox: Inbox, current: CurrentConfig) -> Result<Self, RunError> {
        let (queue, receiver) = channel();
        let thread = thread::Builder::new().name("configs".to_owned());
        let work =
            move || receiver.iter().for_each(|unchecked| process(&inbox, &current, &unchecked));
        thread.spawn(work).map_err(|source| RunError::Thread { step: "check-configs", source })?;
        Ok(Self { queue })
    }

    /// Queues a text from `origin` for checking.
    pub(crate) fn enqueue(&self, origin: &'static str, text: Bytes) {
        let _ = self.queue.send(UncheckedConfig { origin, text });
    }
}

/// Checks a text and posts a valid, newer configuration to the kernel.
///
/// A value that was not written by the operators' tools can contain anything.
/// Adopting it unchecked would stop every host at once, so a refused text
/// leaves the current configuration in place and the log names the faulty key.
fn process(inbox: &Inbox, current: &CurrentConfig, unchecked: &UncheckedConfig) {
    match parse_newer(current, unchecked) {
        Ok(None) => {}
        Ok(Some(config)) => {
            let text = Bytes::from(config.canonical());
            inbox.post_event(Event::Config { config: Arc::new(config), text });
        }
        Err(reason) => {
            log::error!("event=config_refused origin={} reason={reason:?}", unchecked.origin);
        }
    }
}

/// Parses and checks a text. Returns `None` if it is not newer than the current one.
fn parse_newer(
    current: &CurrentConfig,
    unchecked: &UncheckedConfig,
) -> Result<Option<Config>, String> {
    let text = std::str::from_utf8(&unchecked.text).map_err(|e| e.to_string())?;
    let config = parse(text, unchecked.origin).map_err(|e| e.to_string())?;
    check(&config).map_err(|errors| join_errors(&errors))?;
    let Some(old) = current.get() else { return Ok(Some(config)) };
    if config.revision <= old.revision {
        return Ok(None);
    }
    // A different number of shards would assign existing ids to other home hosts.
    check_change(&old, &config).map_err(|errors| join_errors(&errors))?;
    Ok(Some(config))
}

fn join_errors(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
