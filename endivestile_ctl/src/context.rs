//! What every command is given.

use std::net::SocketAddr;

use endivestile_config::model::Config;
use endivestile_config::parse;
use endivestile_wire::key;

use crate::cli::Common;
use crate::error::CtlError;
use crate::store::Store;

/// Options that all commands share.
#[derive(Debug)]
pub(crate) struct Context {
    /// Addresses of the store.
    addresses: Vec<SocketAddr>,
    /// Time for a whole command against the store, in milliseconds.
    timeout_ms: u64,
    /// Whether output is JSON.
    pub(crate) json: bool,
}

/// A configuration and the revision of its key in the store.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    /// The configuration; revision 0 when none was accepted yet.
    pub(crate) config: Config,
    /// Revision of the key's last change; 0 when absent.
    pub(crate) stored: i64,
}

impl Context {
    /// Takes over the command line's common options.
    pub(crate) fn new(common: Common) -> Self {
        Self { addresses: common.store, timeout_ms: common.timeout_ms, json: common.json }
    }

    /// Makes a client of the store, whose deadline starts now.
    pub(crate) fn store(&self) -> Result<Store, CtlError> {
        Store::new(self.addresses.clone(), self.timeout_ms)
    }
}

/// Reads the configuration in force.
pub(crate) fn in_force(store: &mut Store) -> Result<InForce, CtlError> {
    let held = store.get("read-config", key::CONFIG)?;
    if held.mod_revision == 0 {
        return Ok(InForce::default());
    }
    let fail = |reason: String| CtlError::Held {
        step: "read-config",
        key: key::CONFIG.to_owned(),
        reason,
    };
    let text = String::from_utf8(held.value).map_err(|_| fail("not UTF-8".to_owned()))?;
    let config = parse(&text, key::CONFIG).map_err(|error| fail(error.to_string()))?;
    Ok(InForce { config, stored: held.mod_revision })
}
