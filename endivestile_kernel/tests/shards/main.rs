//! Tests of the shards of several hosts with a simulated store and links.

mod scenarios;
mod sequences;
mod world;
