//! What must hold of shards under single faults.

use endivestile_kernel::{MAX_CLOCK_SKEW_S, Peer, ShardRecord, ShardRole, too_far_ahead};
use test_case::test_case;

use crate::world::{Fate, Run, WALL_S, World, id};

/// Three hosts in three zones that own one shard.
fn three() -> World {
    let mut world = World::new(&[0, 1, 2], 1);
    world.advance(1_000);
    world
}

fn third(world: &World) -> usize {
    3 - world.home(0) - world.witness(0)
}

fn fate(world: &World, ticket: u64) -> Option<&Fate> {
    world.fates.get(&ticket)
}

#[test]
fn claim_every_shard_owned_once() {
    let mut world = World::new(&[0, 0, 1, 1], 16);
    world.advance(1_500);
    for shard in 0..16 {
        let record = world.record(shard).expect("claimed");
        assert_eq!(record.epoch, 1);
        assert_ne!(record.witness.expect("witnessed").host, record.home.host);
    }
    // Each shard costs one swap, with no read before it.
    assert_eq!(world.store_calls, 16);
}

#[test]
fn admit_starts_once() {
    let mut world = three();
    let first = world.submit(0, &id(0, 1));
    world.advance(10);
    assert_eq!(world.starts[0].waited, 2);
    let again = world.submit(1, &id(0, 1));
    world.advance(10);
    assert_eq!(fate(&world, first), Some(&Fate::Started));
    assert_eq!(fate(&world, again), Some(&Fate::Known));
}

#[test]
fn admit_burst_rides_in_two_batches() {
    let mut world = three();
    let home = world.home(0);
    let before = world.messages;
    let tickets: Vec<u64> = (0..300).map(|n| world.submit(home, &id(0, n))).collect();
    world.advance(10);
    assert!(tickets.iter().all(|&ticket| fate(&world, ticket) == Some(&Fate::Started)));
    assert_eq!(world.messages - before, 4);
}

#[test]
fn withdraw_never_granted() {
    let mut world = three();
    let home = world.home(0);
    let ticket = world.submit(home, &id(0, 1));
    world.withdraw(home, ticket);
    world.advance(2_000);
    assert_eq!(fate(&world, ticket), None);
    let again = world.submit(home, &id(0, 1));
    world.advance(10);
    assert_eq!(fate(&world, again), Some(&Fate::Started));
    let question = world.confirm(home, &id(0, 2));
    world.withdraw(home, question);
    world.advance(2_000);
    assert_eq!(fate(&world, question), None);
}

// The watch on the store is late, so that a former home does not hear that it
// was replaced. The new home's fence tells it at once; without it callers
// would wait a second and learn nothing.
#[test]
fn fence_tells_former_home() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    world.watch_ms = 60_000;
    world.set_run(home, Run::Paused);
    world.advance(200);
    world.set_run(home, Run::Up);
    let ticket = world.submit(home, &id(0, 1));
    world.advance(20);
    assert_eq!(world.home(0), witness);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
}

// The home is paused after it has sent an id to its witness. The witness
// takes the shard over, and the caller, who waits in vain, submits again at
// the new home, which starts the work. On waking, the old home finds the
// acknowledgement or submits for another caller; if it started too, two
// chambers would stand ready for one mirror.
#[test]
fn fence_paused_home_starts_nothing() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    world.delay_ms.insert((home, witness), 300);
    world.watch_ms = 60_000;
    world.submit(home, &id(0, 1));
    world.set_run(home, Run::Paused);
    world.advance(200);
    assert_eq!(world.home(0), witness);
    let elsewhere = world.submit(witness, &id(0, 1));
    world.advance(20);
    assert_eq!(fate(&world, elsewhere), Some(&Fate::Started));
    world.advance(300);
    world.set_run(home, Run::Up);
    world.submit(home, &id(0, 1));
    world.advance(1_000);
    assert_eq!(world.starts.len(), 1);
}

// A witness dies and the home names another, which has not got the table yet
// when the home dies too. If the new witness took over, it would take every
// id for new and start again what the dead home had started.
#[test]
fn sync_new_witness_without_table_starts_nothing() {
    let mut world = three();
    let (home, witness, other) = (world.home(0), world.witness(0), third(&world));
    world.submit(home, &id(0, 1));
    world.advance(20);
    world.delay_ms.insert((home, other), 500);
    world.crash(witness);
    world.advance(100);
    assert_eq!(world.witness(0), other);
    world.crash(home);
    world.advance(200);
    let again = world.submit(other, &id(0, 1));
    world.advance(1_500);
    assert_eq!(fate(&world, again), Some(&Fate::Unknown));
    assert_eq!(world.starts.len(), 1);
}

// The home starts an id and dies. A home that did not wait for its witness
// would leave no trace of the id anywhere, and the successor would start it
// again for the caller who comes back.
#[test]
fn witness_knows_ids_of_dead_home() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    let first = world.submit(home, &id(0, 1));
    world.advance(3);
    assert_eq!(fate(&world, first), Some(&Fate::Started));
    world.crash(home);
    world.advance(200);
    assert_eq!(world.home(0), witness);
    let again = world.submit(witness, &id(0, 1));
    let fresh = world.submit(witness, &id(0, 2));
    world.advance(20);
    assert_eq!(fate(&world, again), Some(&Fate::Known));
    assert_eq!(fate(&world, fresh), Some(&Fate::Started));
}

// A host is killed. Until its witness has taken over, callers are told at once
// that nothing is known of their ids; they should not have to come back often.
#[test]
fn take_over_serves_again_soon() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    let before = world.now;
    world.crash(home);
    for number in 0..100 {
        world.submit(witness, &id(0, number));
        world.advance(1);
    }
    let gap = world.starts[0].at - before;
    println!("first start {gap} ms after the crash");
    // 30 ms of silence, one swap, one table and one batch there and back.
    assert!(gap <= 40);
}

// The store takes the witness's swap and its answer is lost. The witness must
// read the record back: if it gave up, nobody would serve the shard; if it
// assumed success, it could serve one that it does not own.
#[test]
fn take_over_answer_lost() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    world.watch_ms = 60_000;
    world.crash(home);
    world.lose = 1;
    world.advance(400);
    assert_eq!(world.home(0), witness);
    let ticket = world.submit(witness, &id(0, 1));
    world.advance(20);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
}

// A witness takes a slow home for dead and raises its fence, and the store goes
// down before its swap. The home comes back and finds itself refused: without
// an end to the take-over, its callers would be answered "unknown".
#[test]
fn take_over_begun_is_finished() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    world.set_run(home, Run::Paused);
    world.advance(31);
    world.store_up = false;
    world.advance(5);
    world.set_run(home, Run::Up);
    world.advance(1_000);
    world.store_up = true;
    world.advance(500);
    assert_eq!(world.home(0), witness);
    let ticket = world.submit(home, &id(0, 1));
    world.advance(20);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
}

// Home and witness are cut from each other while both reach the store: each
// takes the other for dead and swaps. One swap wins, and the loser must not
// go on under the old epoch.
#[test]
fn cut_pair_one_home_left() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    world.set_cut(home, witness, true);
    for round in 0..20 {
        world.submit(home, &id(0, round));
        world.submit(witness, &id(0, round));
        world.advance(20);
    }
    world.set_cut(home, witness, false);
    world.advance(1_000);
    let ticket = world.submit(home, &id(0, 99));
    world.advance(20);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
    assert_eq!(world.record(0).expect("owned").epoch, 2);
}

// The store is down for long. Callers must notice nothing as long as home and
// witness live; once one of them dies they are told at once.
#[test]
fn store_down_pair_serves_on() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    world.store_up = false;
    world.advance(60_000);
    let ticket = world.submit(home, &id(60_000, 1));
    world.advance(3);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
    world.crash(witness);
    world.advance(100);
    let refused = world.submit(home, &id(60_000, 2));
    assert_eq!(fate(&world, refused), Some(&Fate::Unknown));
    world.store_up = true;
    world.advance(200);
    let served = world.submit(home, &id(60_000, 3));
    world.advance(20);
    assert_eq!(fate(&world, served), Some(&Fate::Started));
}

// Home and witness die together. Nobody else knows what they started, so ids
// of that time stay unknown, and only ids dated later are served again. While
// the two are only suspected they may be serving on behind a cut.
#[test]
fn both_lost_old_ids_unknown() {
    let mut world = three();
    let (home, witness, other) = (world.home(0), world.witness(0), third(&world));
    world.submit(home, &id(0, 1));
    world.advance(10);
    world.crash(home);
    world.crash(witness);
    world.advance(5_000);
    assert_eq!(world.home(0), home);
    world.declare_gone(home);
    world.declare_gone(witness);
    world.advance(14_900);
    assert_eq!(world.home(0), home);
    world.advance(200);
    assert_eq!(world.home(0), other);
    let again = world.submit(other, &id(0, 1));
    assert_eq!(fate(&world, again), Some(&Fate::Unknown));
    assert!(world.record(0).expect("owned").floor > WALL_S);
    world.advance(130_000);
    let fresh = world.submit(other, &id(world.now, 2));
    world.advance(20);
    assert_eq!(fate(&world, fresh), Some(&Fate::Started));
}

// A host's only peers die. With nobody to witness, it serves alone by a record
// that says so; a peer that comes back is made witness again.
#[test]
fn alone_serves_and_takes_witness() {
    let mut world = three();
    let home = world.home(0);
    let others = [world.witness(0), third(&world)];
    others.iter().for_each(|&other| world.crash(other));
    world.advance(200);
    assert_eq!(world.record(0).expect("owned").witness, None);
    let ticket = world.submit(home, &id(0, 1));
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
    world.restart(others[0]);
    world.advance(300);
    assert_eq!(world.witness(0), others[0]);
    world.crash(home);
    world.advance(200);
    let again = world.submit(others[0], &id(0, 1));
    world.advance(20);
    assert_eq!(fate(&world, again), Some(&Fate::Known));
}

// "Not run" from a host that has lost the shard without knowing it would be a
// lie: its successor may have started the id.
#[test]
fn confirm_paused_home_moved() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    let fresh = world.confirm(home, &id(0, 1));
    world.advance(10);
    assert_eq!(fate(&world, fresh), Some(&Fate::NotRun));
    world.set_run(home, Run::Paused);
    world.advance(200);
    world.submit(witness, &id(0, 1));
    world.advance(20);
    world.set_run(home, Run::Up);
    let late = world.confirm(home, &id(0, 1));
    world.advance(100);
    assert_eq!(fate(&world, late), Some(&Fate::Known));
}

// A host is stopped on purpose. Its callers must not notice: ids that come in
// the middle of the handing over start, once, at the old home or the new one.
#[test]
fn leave_hands_every_shard_on() {
    let mut world = World::new(&[0, 1, 2], 8);
    world.advance(1_500);
    world.leave(0);
    let mut tickets = Vec::new();
    for number in 0..100 {
        tickets.push(world.submit(number % 3, &id(0, number)));
        world.advance(3);
    }
    world.advance(500);
    assert!(world.shards(0).is_drained());
    assert!(tickets.iter().all(|&ticket| fate(&world, ticket) == Some(&Fate::Started)));
    let longest = world.starts.iter().map(|start| start.waited).max();
    println!("longest wait for a start {longest:?} ms");
    assert!(longest < Some(30));
    let roles = world.shards(0).status();
    assert!(roles.iter().all(|shard| shard.role == ShardRole::Other), "{roles:?}");
}

// A planned stop while the store is down: nothing can change hands yet. If the
// process ended at once, and its witness with it, their shards would have no
// home when the store is back; but it must not wait for a long outage to end.
#[test]
fn leave_store_down_idle_in_time() {
    let mut world = three();
    let home = world.home(0);
    let witness = world.witness(0);
    world.store_up = false;
    world.advance(10);
    world.leave(home);
    world.advance(9_000);
    assert!(!world.shards(home).is_drained());
    world.advance(1_100);
    assert!(world.shards(home).is_drained());
    world.crash(home);
    world.store_up = true;
    world.advance(200);
    assert_eq!(world.home(0), witness);
}

#[test]
fn balance_joined_host_gets_share() {
    let mut world = World::new(&[0, 1, 2], 12);
    world.crash(2);
    world.advance(1_500);
    world.restart(2);
    world.advance(60_000);
    let homes = (0..12).filter(|&shard| world.home(shard) == 2).count();
    assert_eq!(homes, 4);
    let ticket = world.submit(0, &id(60_000, 1));
    world.advance(20);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
}

#[test]
fn lose_host_costs_few_store_calls() {
    let mut world = World::new(&[0, 0, 1, 1, 2, 2], 64);
    world.advance(3_000);
    let halves = world.shards(0).status().iter().filter(|s| s.role != ShardRole::Other).count();
    let before = world.store_calls;
    world.crash(0);
    world.advance(200);
    let calls = world.store_calls - before;
    println!("store calls {calls} for {halves} halves lost");
    assert!(calls <= halves + halves / 4, "{calls} store calls for {halves} halves");
}

// A table must shrink again, and an id that it forgot must not pass for a new
// one: the caller would get a second chamber.
#[test]
fn table_forgets_after_window() {
    let mut world = World::with_window(&[0, 1, 2], 1, 10);
    world.advance(1_000);
    let home = world.home(0);
    let ids: Vec<_> = (0..10).map(|number| id(world.now, number)).collect();
    for id in &ids {
        world.submit(home, id);
    }
    world.advance(129_000);
    assert_eq!(world.shards(home).status()[0].ids, 10);
    world.advance(62_000);
    assert_eq!(world.shards(home).status()[0].ids, 0);
    let late = world.submit(home, &ids[0]);
    assert_eq!(fate(&world, late), Some(&Fate::Unknown));
}

// Somebody overwrites a record past the tools. Nobody may take that for an
// unowned shard, for its home serves on.
#[test]
fn record_broken_pair_serves_on() {
    let mut world = three();
    let (home, witness) = (world.home(0), world.witness(0));
    let other = third(&world);
    let good = world.record(0).expect("owned").encode();
    world.put(0, "junk".into());
    world.advance(1_000);
    let ticket = world.submit(other, &id(0, 1));
    world.advance(10);
    assert_eq!(fate(&world, ticket), Some(&Fate::Started));
    world.put(0, good);
    world.advance(100);
    world.crash(home);
    world.advance(100);
    assert_eq!(world.home(0), witness);
}

#[test_case(0, false; "now")]
#[test_case(MAX_CLOCK_SKEW_S, false; "one margin ahead")]
#[test_case(MAX_CLOCK_SKEW_S + 1, true; "beyond the margin")]
fn too_early_ahead(ahead: u64, refused: bool) {
    assert_eq!(too_far_ahead(WALL_S + ahead, WALL_S), refused);
}

#[test]
fn record_round_trip() {
    let record = ShardRecord {
        home: Peer::new("host0", 3),
        witness: None,
        epoch: 9,
        floor: 1,
        write: u64::MAX,
    };
    assert_eq!(ShardRecord::decode(&record.encode()), Some(record));
    assert_eq!(ShardRecord::decode(b"{}"), None);
}

// The store is back before the wait is over: the shards change hands, and none
// is left without a home.
#[test]
fn leave_store_back_hands_over() {
    let mut world = three();
    let home = world.home(0);
    let witness = world.witness(0);
    world.store_up = false;
    world.advance(10);
    world.leave(home);
    world.advance(2_000);
    world.store_up = true;
    world.advance(3_000);
    assert!(world.shards(home).is_drained());
    assert_eq!(world.home(0), witness);
}
