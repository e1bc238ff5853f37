//! Settings, inventory and rules of endivestile.

pub mod model;
