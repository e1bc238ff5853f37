//! Promise 1 with real processes: no task of a submission starts twice.

mod promise;

use endivestile_testkit::Caller;

use promise::{
    assert_complete_or_failed, assert_once, caller_of, home, others, plan, spawn_submission, start,
    submit_until_final, wait_starts, wait_taken_over, works,
};

// The home of a job is killed while the job runs, and callers resubmit the job to
// two other hosts. All get a failure or the complete answer, and no task starts
// twice.
#[test]
fn resubmit_home_killed() {
    let mut deployment = start(plan());
    let id = Caller::own_id("killed");
    let works = works("killed", 6, 400);
    let killed = home(&deployment, &id);
    let fronts = others(&deployment, &killed);
    let first = spawn_submission(caller_of(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 3);
    deployment.host(&killed).kill();
    let resubmitted: Vec<_> = fronts[1..]
        .iter()
        .map(|front| spawn_submission(caller_of(&mut deployment, front), &id, &works))
        .collect();
    for reply in resubmitted.into_iter().chain([first]) {
        let reply = reply.join().expect("a caller").expect("a final answer");
        assert_complete_or_failed(&reply, &works);
    }
    assert_once(&deployment);
}

// The home is paused, like a virtual machine during a migration, for so long that
// its witness takes over the shard, and resumes unaware of that. Callers resubmit
// before, during and after the takeover, some of them to the resumed host.
#[test]
fn resubmit_home_paused() {
    let mut deployment = start(plan());
    let id = Caller::own_id("paused");
    let (paused_works, fresh) = (works("paused", 4, 300), works("fresh", 4, 50));
    let paused = home(&deployment, &id);
    let fronts = others(&deployment, &paused);
    let first = spawn_submission(caller_of(&mut deployment, &fronts[0]), &id, &paused_works);
    wait_starts(&deployment, 2);
    deployment.host(&paused).pause();
    let before = spawn_submission(caller_of(&mut deployment, &fronts[1]), &id, &paused_works);
    let next = same_shard(&deployment, &id, "fresh");
    let during = spawn_submission(caller_of(&mut deployment, &fronts[2]), &next, &fresh);
    wait_taken_over(&deployment, &id, &paused);
    deployment.host(&paused).resume();
    let resumed = caller_of(&mut deployment, &paused);
    let after = submit_until_final(&resumed, &id, &paused_works).expect("a final answer");
    let late = submit_until_final(&resumed, &next, &fresh).expect("a final answer");
    assert_complete_or_failed(&after, &paused_works);
    assert_complete_or_failed(&late, &fresh);
    for (reply, works) in [(first, &paused_works), (before, &paused_works), (during, &fresh)] {
        let reply = reply.join().expect("a caller").expect("a final answer");
        assert_complete_or_failed(&reply, works);
    }
    assert_once(&deployment);
}

// The store is down when the home is killed, so that no host can take over the
// shard until it is back. Callers get an answer at once that the outcome is unknown,
// and retry; after the outage new ids of that shard are served again.
#[test]
fn resubmit_store_down() {
    let mut deployment = start(plan());
    let id = Caller::own_id("outage");
    let works = works("outage", 4, 300);
    let killed = home(&deployment, &id);
    let fronts = others(&deployment, &killed);
    let first = spawn_submission(caller_of(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 2);
    deployment.store.take_down();
    deployment.host(&killed).kill();
    let outage_reply =
        caller_of(&mut deployment, &fronts[1]).deadline_ms(8_000).submit_job("orders", &id, &works);
    let outage_reply = outage_reply.expect("an answer during the outage");
    assert!(
        ["unknown", "failed"].contains(&outage_reply.status_text().as_str()),
        "{}",
        outage_reply.body
    );
    deployment.store.bring_up();
    wait_taken_over(&deployment, &id, &killed);
    let resubmitted = submit_until_final(&caller_of(&mut deployment, &fronts[2]), &id, &works)
        .expect("a final answer");
    assert_complete_or_failed(&resubmitted, &works);
    let first = first.join().expect("a caller").expect("a final answer");
    assert_complete_or_failed(&first, &works);
    let next = same_shard(&deployment, &id, "next");
    let fresh = promise::works("next", 2, 20);
    let reply = submit_until_final(&caller_of(&mut deployment, &fronts[0]), &next, &fresh)
        .expect("a final answer");
    assert_eq!(reply.status_text(), "complete");
    assert_once(&deployment);
}

// The store applies the writes of a takeover and loses the answers. The successor
// cannot know whether it is the home; if it assumed so, it could start tasks that
// another host has started.
#[test]
fn resubmit_swap_answer_lost() {
    let mut deployment = start(plan());
    let id = Caller::own_id("lost");
    let works = works("lost", 4, 300);
    let killed = home(&deployment, &id);
    let fronts = others(&deployment, &killed);
    let first = spawn_submission(caller_of(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 2);
    deployment.store.lose_answers(3);
    deployment.host(&killed).kill();
    wait_taken_over(&deployment, &id, &killed);
    for front in &fronts {
        let reply = submit_until_final(&caller_of(&mut deployment, front), &id, &works)
            .expect("a final answer");
        assert_complete_or_failed(&reply, &works);
    }
    first.join().expect("a caller").expect("a final answer");
    assert_once(&deployment);
}

/// Returns a new id of the same shard as `id`.
fn same_shard(deployment: &endivestile_testkit::Deployment, id: &str, key: &str) -> String {
    let shards = deployment.config().rules.shards;
    let shard =
        |id: &str| endivestile_kernel::SubmissionId::parse(id).expect("an id").shard(shards);
    let mut ids = (0..).map(|number| Caller::own_id(&format!("{key}{number}")));
    ids.find(|other| shard(other) == shard(id)).expect("an unbounded sequence of ids")
}
