//! Parses, checks and writes the settings, inventory and rules of endivestile.

pub mod model;

mod check;
mod diff;
mod document;
mod error;
mod keys;
mod mechanism;
mod model_keys;
mod parse;
mod raw;
mod settings;

pub use check::{PLACEMENT_POLICIES, check, check_change};
pub use diff::{Change, diff};
pub use document::MAX_BYTES;
pub use error::{ConfigError, Location};
pub use mechanism::{Mechanism, Policy};
pub use parse::{SourceFile, locate, parse, parse_files};
pub use settings::{
    BackendSettings, CallSettings, HostSettings, LogSettings, MetricSettings, PlatformSettings,
    Settings, StopSettings, StoreSettings,
};
