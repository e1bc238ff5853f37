//! Time per admission and memory per recorded id.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;

use criterion::{BatchSize, Criterion};
use endivestile_config::model::{Name, Rules};
use endivestile_kernel::{
    Admission, HostState, HostView, KnownId, Msg, Peer, ShardEffect, ShardSetup, Shards, StoreOp,
    StoreResult, SubmissionId, Time, View,
};

const WALL_S: u64 = 1_800_000_000;
const SHARDS: u32 = 64;
/// Number of ids in the memory measurement.
const IDS: u64 = 1_000_000;

/// The home of all shards and their witness, connected without delay.
struct Pair {
    hosts: Vec<(Shards, View)>,
    revisions: BTreeMap<Name, u64>,
    now: Time,
    out: Vec<ShardEffect>,
}

impl Pair {
    fn new() -> Self {
        let hosts = (0..2).map(host).collect();
        let mut pair = Self { hosts, revisions: BTreeMap::new(), now: Time::ZERO, out: Vec::new() };
        while pair.hosts[0].0.status().iter().any(|shard| !shard.synced) {
            pair.now = pair.now.after_ms(10);
            pair.tick();
        }
        pair
    }

    fn tick(&mut self) {
        let (shards, view) = &mut self.hosts[0];
        let mut out = Vec::new();
        shards.tick(self.now, view, &mut out);
        self.apply(0, out);
    }

    fn apply(&mut self, at: usize, effects: Vec<ShardEffect>) {
        for effect in effects {
            let mut out = Vec::new();
            let to = if let ShardEffect::Send { .. } = effect { 1 - at } else { at };
            let from = self.hosts[at].1.me.clone();
            let (shards, view) = &mut self.hosts[to];
            match effect {
                ShardEffect::Send { msg, .. } => {
                    shards.handle_message(self.now, view, &from, msg, &mut out);
                }
                ShardEffect::Store { token, op: StoreOp::Swap { key, .. } } => {
                    let revision = self.revisions.entry(key).or_default();
                    *revision += 1;
                    shards.handle_store_reply(
                        self.now,
                        view,
                        token,
                        StoreResult::Swapped(*revision),
                        &mut out,
                    );
                }
                ShardEffect::Granted { ticket } => drop(black_box(ticket)),
                _ => {}
            }
            self.apply(to, out);
        }
    }

    /// Admits ids at the home, including the witness's acknowledgements.
    fn admit(&mut self, ids: &[SubmissionId]) {
        let mut out = std::mem::take(&mut self.out);
        for (ticket, id) in ids.iter().enumerate() {
            let (shards, view) = &mut self.hosts[0];
            let admission = shards.admit(self.now, view, id, 7, ticket as u64, &mut out);
            debug_assert_eq!(admission, Admission::Wait);
        }
        self.apply(0, out);
    }
}

fn host(index: usize) -> (Shards, View) {
    let names = ["zone0", "zone1"];
    let me = Peer::new(format!("host{index}"), 1);
    let zone = Name::from(names[index]);
    let setup = ShardSetup { me: me.clone(), zone: zone.clone(), wall_s: WALL_S, seed: 1 };
    let mut shards = Shards::new(setup);
    shards.configure(&Rules { shards: SHARDS, ..Rules::default() });
    let hosts = (0..2).map(|other| {
        let peer = Peer::new(format!("host{other}"), 1);
        // The weight makes the first host rank first for every shard.
        let weight = if other == 0 { u32::MAX } else { 1 };
        let (zone, address) = (Name::from(names[other]), Name::from("127.0.0.1:1"));
        let view = HostView { peer, zone, address, weight, state: HostState::Live };
        (view.peer.host.clone(), view)
    });
    let view = View {
        me,
        zone,
        hosts: hosts.collect(),
        ended: BTreeSet::new(),
        store_available: true,
        has_inventory: true,
    };
    (shards, view)
}

/// Returns dated ids with the length of a UUID.
fn ids(from: u64, count: u64) -> Vec<SubmissionId> {
    let text = |number: u64| format!("{WALL_S}:{number:08x}-89ab-4cde-8f01-23456789abcd");
    (from..from + count).map(|n| SubmissionId::parse(&text(n)).expect("an id")).collect()
}

fn bench_admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit_and_record");
    for burst in [1u64, 16, 256] {
        let mut pair = Pair::new();
        let mut next = 0;
        group.throughput(criterion::Throughput::Elements(burst));
        group.bench_function(format!("burst_{burst}"), |bencher| {
            bencher.iter_batched(
                || {
                    next += burst;
                    ids(next, burst)
                },
                |ids| pair.admit(&ids),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0u64) * 4_096
}

fn print_memory() {
    let mut pair = Pair::new();
    let home = pair.hosts[0].1.me.clone();
    let (witness, view) = &mut pair.hosts[1];
    let before = resident_bytes();
    for part in 0..IDS / 1_000 {
        for id in ids(part * 1_000, 1_000) {
            let shard = id.shard(SHARDS);
            let known = KnownId { id, digest: 7, runner: home.clone(), forget: Time::NEVER };
            let msg = Msg::Record { shard, epoch: 1, batch: 1, ids: vec![known] };
            witness.handle_message(pair.now, view, &home, msg, &mut Vec::new());
        }
    }
    let ids: usize = witness.status().iter().map(|shard| shard.ids).sum();
    println!("remembered {ids} ids in {} bytes each", (resident_bytes() - before) / ids as u64);
}

fn main() {
    print_memory();
    let mut criterion = Criterion::default().configure_from_args();
    bench_admit(&mut criterion);
    criterion.final_summary();
}
