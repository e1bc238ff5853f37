//! Scenarios with one fault or a few faults at fixed times.

use endivestile_kernel::{MAX_CLOCK_SKEW_S, Peer, ShardRecord, ShardRole, too_far_ahead};
use test_case::test_case;

use crate::world::{ProcessState, TicketResult, WALL_S, World, id};

/// Returns three hosts in three zones that serve one shard.
fn three_hosts() -> World {
    let mut world = World::new(&[0, 1, 2], 1);
    world.advance(1_000);
    world
}

/// Returns the host that is neither home nor witness.
fn bystander(world: &World) -> usize {
    3 - world.home(0) - world.witness(0)
}

fn result(world: &World, ticket: u64) -> Option<&TicketResult> {
    world.results.get(&ticket)
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
    // Each claim takes one swap and no read.
    assert_eq!(world.store_calls, 16);
}

#[test]
fn admit_starts_once() {
    let mut world = three_hosts();
    let first = world.submit(0, &id(0, 1));
    world.advance(10);
    assert_eq!(world.starts[0].waited_ms, 2);
    let again = world.submit(1, &id(0, 1));
    world.advance(10);
    assert_eq!(result(&world, first), Some(&TicketResult::Started));
    assert_eq!(result(&world, again), Some(&TicketResult::Known));
}

#[test]
fn admit_burst_takes_two_batches() {
    let mut world = three_hosts();
    let home = world.home(0);
    let before = world.sent_messages;
    let tickets: Vec<u64> = (0..300).map(|n| world.submit(home, &id(0, n))).collect();
    world.advance(10);
    assert!(tickets.iter().all(|&ticket| result(&world, ticket) == Some(&TicketResult::Started)));
    assert_eq!(world.sent_messages - before, 4);
}

#[test]
fn cancelled_ticket_never_granted() {
    let mut world = three_hosts();
    let home = world.home(0);
    let ticket = world.submit(home, &id(0, 1));
    world.cancel(home, ticket);
    world.advance(2_000);
    assert_eq!(result(&world, ticket), None);
    let again = world.submit(home, &id(0, 1));
    world.advance(10);
    assert_eq!(result(&world, again), Some(&TicketResult::Started));
    let confirmation = world.confirm_not_run(home, &id(0, 2));
    world.cancel(home, confirmation);
    world.advance(2_000);
    assert_eq!(result(&world, confirmation), None);
}

// A delayed watch keeps a former home from observing that it was replaced. The
// new home's rejection makes it read the record at once; otherwise callers would
// wait one second for a refusal.
#[test]
fn fence_redirects_former_home() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    world.watch_delay_ms = 60_000;
    world.set_process(home, ProcessState::Paused);
    world.advance(200);
    world.set_process(home, ProcessState::Running);
    let ticket = world.submit(home, &id(0, 1));
    world.advance(20);
    assert_eq!(world.home(0), witness);
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
}

// The home pauses after it has sent an id to its witness. The witness takes the
// shard over and starts the id for the caller's second attempt. The old home
// resumes, receives the late acknowledgement and another request for the id, and
// must not start it a second time.
#[test]
fn fence_paused_home_starts_nothing() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    world.delay_ms.insert((home, witness), 300);
    world.watch_delay_ms = 60_000;
    world.submit(home, &id(0, 1));
    world.set_process(home, ProcessState::Paused);
    world.advance(200);
    assert_eq!(world.home(0), witness);
    let resubmitted = world.submit(witness, &id(0, 1));
    world.advance(20);
    assert_eq!(result(&world, resubmitted), Some(&TicketResult::Started));
    world.advance(300);
    world.set_process(home, ProcessState::Running);
    world.submit(home, &id(0, 1));
    world.advance(1_000);
    assert_eq!(world.starts.len(), 1);
}

// The witness crashes and the home chooses another, which has not received the
// table when the home crashes too. A takeover by the new witness would start ids
// again that the old home had started.
#[test]
fn sync_new_witness_without_table_starts_nothing() {
    let mut world = three_hosts();
    let (home, witness, other) = (world.home(0), world.witness(0), bystander(&world));
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
    assert_eq!(result(&world, again), Some(&TicketResult::Unknown));
    assert_eq!(world.starts.len(), 1);
}

// The home starts an id and crashes. Unless it waited for its witness, no other
// host has the id, and the successor would start it again on a retry.
#[test]
fn witness_has_ids_of_crashed_home() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    let first = world.submit(home, &id(0, 1));
    world.advance(3);
    assert_eq!(result(&world, first), Some(&TicketResult::Started));
    world.crash(home);
    world.advance(200);
    assert_eq!(world.home(0), witness);
    let again = world.submit(witness, &id(0, 1));
    let fresh = world.submit(witness, &id(0, 2));
    world.advance(20);
    assert_eq!(result(&world, again), Some(&TicketResult::Known));
    assert_eq!(result(&world, fresh), Some(&TicketResult::Started));
}

// After a crash of the home, requests are answered "unknown" until the witness
// has taken over, which must not take long.
#[test]
fn takeover_resumes_service_quickly() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    let before = world.now_ms;
    world.crash(home);
    for number in 0..100 {
        world.submit(witness, &id(0, number));
        world.advance(1);
    }
    let gap = world.starts[0].at_ms - before;
    println!("first start {gap} ms after the crash");
    // 30 ms until suspicion, one swap, one table transfer and one batch round trip.
    assert!(gap <= 40);
}

// The store applies the witness's swap but the reply is lost. The witness must
// read the record: if it gave up, no host would serve the shard; if it assumed
// success, it could serve a shard of another home.
#[test]
fn takeover_reply_lost() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    world.watch_delay_ms = 60_000;
    world.crash(home);
    world.lost_replies = 1;
    world.advance(400);
    assert_eq!(world.home(0), witness);
    let ticket = world.submit(witness, &id(0, 1));
    world.advance(20);
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
}

// A witness suspects a paused home and raises its fence, and the store fails
// before the swap. The resumed home is fenced off; unless the takeover is
// completed later, its callers are answered "unknown" forever.
#[test]
fn takeover_begun_is_completed() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    world.set_process(home, ProcessState::Paused);
    world.advance(31);
    world.store_up = false;
    world.advance(5);
    world.set_process(home, ProcessState::Running);
    world.advance(1_000);
    world.store_up = true;
    world.advance(500);
    assert_eq!(world.home(0), witness);
    let ticket = world.submit(home, &id(0, 1));
    world.advance(20);
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
}

// Home and witness are partitioned but both reach the store, so each suspects
// the other and tries a swap. One swap wins; the loser must not continue under
// the old epoch.
#[test]
fn partitioned_pair_keeps_one_home() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    world.set_partition(home, witness, true);
    for round in 0..20 {
        world.submit(home, &id(0, round));
        world.submit(witness, &id(0, round));
        world.advance(20);
    }
    world.set_partition(home, witness, false);
    world.advance(1_000);
    let ticket = world.submit(home, &id(0, 99));
    world.advance(20);
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
    assert_eq!(world.record(0).expect("owned").epoch, 2);
}

// During a long store outage requests must be served as long as home and witness
// are live. After one of them crashes, requests must be refused at once.
#[test]
fn store_down_pair_keeps_serving() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    world.store_up = false;
    world.advance(60_000);
    let ticket = world.submit(home, &id(60_000, 1));
    world.advance(3);
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
    world.crash(witness);
    world.advance(100);
    let refused = world.submit(home, &id(60_000, 2));
    assert_eq!(result(&world, refused), Some(&TicketResult::Unknown));
    world.store_up = true;
    world.advance(200);
    let served = world.submit(home, &id(60_000, 3));
    world.advance(20);
    assert_eq!(result(&world, served), Some(&TicketResult::Started));
}

// Home and witness crash together. No other host has their ids, so older ids stay
// "unknown" and only ids dated after the floor are served. As long as the two are
// only suspected they may still be serving behind a partition.
#[test]
fn both_lost_old_ids_unknown() {
    let mut world = three_hosts();
    let (home, witness, other) = (world.home(0), world.witness(0), bystander(&world));
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
    assert_eq!(result(&world, again), Some(&TicketResult::Unknown));
    assert!(world.record(0).expect("owned").floor > WALL_S);
    world.advance(130_000);
    let fresh = world.submit(other, &id(world.now_ms, 2));
    world.advance(20);
    assert_eq!(result(&world, fresh), Some(&TicketResult::Started));
}

// All peers of the home crash. It serves without a witness under a record that
// names none, and chooses a restarted peer as witness again.
#[test]
fn sole_home_serves_and_gets_witness() {
    let mut world = three_hosts();
    let home = world.home(0);
    let others = [world.witness(0), bystander(&world)];
    others.iter().for_each(|&other| world.crash(other));
    world.advance(200);
    assert_eq!(world.record(0).expect("owned").witness, None);
    let ticket = world.submit(home, &id(0, 1));
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
    world.restart(others[0]);
    world.advance(300);
    assert_eq!(world.witness(0), others[0]);
    world.crash(home);
    world.advance(200);
    let again = world.submit(others[0], &id(0, 1));
    world.advance(20);
    assert_eq!(result(&world, again), Some(&TicketResult::Known));
}

// A home that was replaced during a pause must not confirm "not run", since its
// successor may have started the id.
#[test]
fn confirm_at_replaced_home() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    let fresh = world.confirm_not_run(home, &id(0, 1));
    world.advance(10);
    assert_eq!(result(&world, fresh), Some(&TicketResult::NotRun));
    world.set_process(home, ProcessState::Paused);
    world.advance(200);
    world.submit(witness, &id(0, 1));
    world.advance(20);
    world.set_process(home, ProcessState::Running);
    let late = world.confirm_not_run(home, &id(0, 1));
    world.advance(100);
    assert_eq!(result(&world, late), Some(&TicketResult::Known));
}

// During a planned stop of a host every id that is submitted while its shards are
// transferred must start once, at the old home or the new one, without long waits.
#[test]
fn drain_transfers_every_shard() {
    let mut world = World::new(&[0, 1, 2], 8);
    world.advance(1_500);
    world.drain(0);
    let mut tickets = Vec::new();
    for number in 0..100 {
        tickets.push(world.submit(number % 3, &id(0, number)));
        world.advance(3);
    }
    world.advance(500);
    assert!(world.shards(0).is_drained());
    assert!(tickets.iter().all(|&ticket| result(&world, ticket) == Some(&TicketResult::Started)));
    let longest = world.starts.iter().map(|start| start.waited_ms).max();
    println!("longest wait for a start {longest:?} ms");
    assert!(longest < Some(30));
    let roles = world.shards(0).status();
    assert!(roles.iter().all(|shard| shard.role == ShardRole::Other), "{roles:?}");
}

// While the store is down a draining host cannot transfer its shards. If it stopped
// at once and its witness too, the shards would have no home after the outage. It
// must not wait for the end of a long outage either.
#[test]
fn drain_store_down_ends_in_time() {
    let mut world = three_hosts();
    let home = world.home(0);
    let witness = world.witness(0);
    world.store_up = false;
    world.advance(10);
    world.drain(home);
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
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
}

#[test]
fn lost_host_costs_few_store_calls() {
    let mut world = World::new(&[0, 0, 1, 1, 2, 2], 64);
    world.advance(3_000);
    let replicas =
        world.shards(0).status().iter().filter(|replica| replica.role != ShardRole::Other).count();
    let before = world.store_calls;
    world.crash(0);
    world.advance(200);
    let calls = world.store_calls - before;
    println!("store calls {calls} for {replicas} replicas lost");
    assert!(calls <= replicas + replicas / 4, "{calls} store calls for {replicas} replicas");
}

// Expired ids must be removed from the table, and a removed id must not be started
// again as a new one.
#[test]
fn table_drops_expired_ids() {
    let mut world = World::with_window(&[0, 1, 2], 1, 10);
    world.advance(1_000);
    let home = world.home(0);
    let ids: Vec<_> = (0..10).map(|number| id(world.now_ms, number)).collect();
    for id in &ids {
        world.submit(home, id);
    }
    world.advance(129_000);
    assert_eq!(world.shards(home).status()[0].ids, 10);
    world.advance(62_000);
    assert_eq!(world.shards(home).status()[0].ids, 0);
    let late = world.submit(home, &ids[0]);
    assert_eq!(result(&world, late), Some(&TicketResult::Unknown));
}

// A record is overwritten with an invalid value. No host may treat the shard as
// unowned, since its home keeps serving.
#[test]
fn invalid_record_pair_keeps_serving() {
    let mut world = three_hosts();
    let (home, witness) = (world.home(0), world.witness(0));
    let other = bystander(&world);
    let valid = world.record(0).expect("owned").encode();
    world.overwrite_record(0, "junk".into());
    world.advance(1_000);
    let ticket = world.submit(other, &id(0, 1));
    world.advance(10);
    assert_eq!(result(&world, ticket), Some(&TicketResult::Started));
    world.overwrite_record(0, valid);
    world.advance(100);
    world.crash(home);
    world.advance(100);
    assert_eq!(world.home(0), witness);
}

#[test_case(0, false; "now")]
#[test_case(MAX_CLOCK_SKEW_S, false; "one clock skew ahead")]
#[test_case(MAX_CLOCK_SKEW_S + 1, true; "beyond the clock skew")]
fn too_far_ahead_limit(ahead: u64, refused: bool) {
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

// The store recovers before the drain timeout: the draining host must transfer its
// shard, and not leave it without a home.
#[test]
fn drain_store_back_transfers_shard() {
    let mut world = three_hosts();
    let home = world.home(0);
    let witness = world.witness(0);
    world.store_up = false;
    world.advance(10);
    world.drain(home);
    world.advance(2_000);
    world.store_up = true;
    world.advance(3_000);
    assert!(world.shards(home).is_drained());
    assert_eq!(world.home(0), witness);
}
