//! Shards of several hosts over a fake store and fake links.

mod scenarios;
mod sequences;
mod world;
