//! What every command is given.

use std::net::SocketAddr;

use endivestile_config::model::Config;
use endivestile_config::{check, parse};
use endivestile_wire::key;

use crate::cli::Common;
use crate::error::CtlError;
use crate::store::Store;

/// Step that errors name.
const STEP: &str = "read-config";

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

/// What the configuration's key holds.
#[derive(Debug, Default)]
pub(crate) struct CurrentConfig {
    /// The configuration; revision 0 when there is none, or none that can be read.
    pub(crate) config: Config,
    /// Revision of the key's last change; 0 when absent.
    pub(crate) key_revision: i64,
    /// Why no host takes the value, if it was written past the tools.
    pub(crate) invalid_reason: Option<String>,
}

impl CurrentConfig {
    /// Returns the configuration, if it is one that hosts take.
    pub(crate) fn into_valid(self) -> Result<Config, CtlError> {
        match self.invalid_reason {
            Some(reason) => {
                Err(CtlError::InvalidValue { step: STEP, key: key::CONFIG.to_owned(), reason })
            }
            None => Ok(self.config),
        }
    }
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

/// Reads what the configuration's key holds.
pub(crate) fn read_current_config(store: &mut Store) -> Result<CurrentConfig, CtlError> {
    let found = store.get(STEP, key::CONFIG)?;
    if found.mod_revision == 0 {
        return Ok(CurrentConfig::default());
    }
    let text = String::from_utf8_lossy(&found.value);
    let (config, invalid_reason) = match parse(&text, key::CONFIG) {
        Ok(config) => {
            let errors = check(&config).err().unwrap_or_default();
            (config, errors.first().map(ToString::to_string))
        }
        Err(error) => (Config::default(), Some(error.to_string())),
    };
    Ok(CurrentConfig { config, key_revision: found.mod_revision, invalid_reason })
}
