//! Options shared by all commands, and the configuration in force.

use std::net::SocketAddr;

use endivestile_config::model::Config;
use endivestile_config::{check, parse};
use endivestile_wire::key;

use crate::cli::Common;
use crate::error::CtlError;
use crate::store::Store;

/// Step named in error messages.
const STEP: &str = "read-config";

/// Options shared by all commands.
#[derive(Debug)]
pub(crate) struct Context {
    /// Addresses of the store.
    addresses: Vec<SocketAddr>,
    /// Time limit for all store calls of a command, in milliseconds.
    timeout_ms: u64,
    /// Whether to write JSON.
    pub(crate) json: bool,
}

/// The configuration as read from its key in the store.
#[derive(Debug, Default)]
pub(crate) struct CurrentConfig {
    /// The configuration; the default with revision 0 if it is absent or can't be parsed.
    pub(crate) config: Config,
    /// Revision of the key's last change; 0 if absent.
    pub(crate) key_revision: i64,
    /// Why hosts reject the value. Only a value that was written without this tool is invalid.
    pub(crate) invalid_reason: Option<String>,
}

impl CurrentConfig {
    /// Returns the configuration, or an error if hosts reject it.
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
    /// Creates a context from the command line's common options.
    pub(crate) fn new(common: Common) -> Self {
        Self { addresses: common.store, timeout_ms: common.timeout_ms, json: common.json }
    }

    /// Creates a store client; its time limit starts now.
    pub(crate) fn store(&self) -> Result<Store, CtlError> {
        Store::new(self.addresses.clone(), self.timeout_ms)
    }
}

/// Reads, parses and checks the configuration in the store.
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
