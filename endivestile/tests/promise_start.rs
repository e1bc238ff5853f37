//! Promise 1, no task of a submission starts twice: with real processes.

mod promise;

use endivestile_testkit::Caller;

use promise::{
    assert_once, assert_whole, at, home, others, persist, persist_later, plan, start, wait_moved,
    wait_starts, works,
};

// The home of a job is killed while the job runs. Its caller, and another one
// that believes the job lost, submit it again by two other hosts. They are told
// that it failed, or get all of it; no mirror gets a second chamber.
#[test]
fn resubmit_home_killed() {
    let mut deployment = start(plan());
    let id = Caller::own_id("killed");
    let works = works("killed", 6, 400);
    let killed = home(&deployment, &id);
    let fronts = others(&deployment, &killed);
    let first = persist_later(at(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 3);
    deployment.host(&killed).kill();
    let again: Vec<_> = fronts[1..]
        .iter()
        .map(|front| persist_later(at(&mut deployment, front), &id, &works))
        .collect();
    for reply in again.into_iter().chain([first]) {
        let reply = reply.join().expect("a caller").expect("a final answer");
        assert_whole(&reply, &works);
    }
    assert_once(&deployment);
}

// The home stands still, as a virtual machine does while it is moved, for so
// long that its witness takes the shard over, and goes on unaware. Callers
// submit again before, during and after; some of them at the woken host itself.
#[test]
fn resubmit_home_paused() {
    let mut deployment = start(plan());
    let id = Caller::own_id("paused");
    let (old, fresh) = (works("paused", 4, 300), works("fresh", 4, 50));
    let paused = home(&deployment, &id);
    let fronts = others(&deployment, &paused);
    let first = persist_later(at(&mut deployment, &fronts[0]), &id, &old);
    wait_starts(&deployment, 2);
    deployment.host(&paused).pause();
    let before = persist_later(at(&mut deployment, &fronts[1]), &id, &old);
    let next = same_shard(&deployment, &id, "fresh");
    let during = persist_later(at(&mut deployment, &fronts[2]), &next, &fresh);
    wait_moved(&deployment, &id, &paused);
    deployment.host(&paused).resume();
    let woken = at(&mut deployment, &paused);
    let after = persist(&woken, &id, &old).expect("a final answer");
    let late = persist(&woken, &next, &fresh).expect("a final answer");
    assert_whole(&after, &old);
    assert_whole(&late, &fresh);
    for (reply, works) in [(first, &old), (before, &old), (during, &fresh)] {
        let reply = reply.join().expect("a caller").expect("a final answer");
        assert_whole(&reply, works);
    }
    assert_once(&deployment);
}

// The store is away when the home dies, so that nobody can take the shard over
// until it is back. Callers are told at once that nothing is known, and come
// back; afterwards new ids of that shard are served again.
#[test]
fn resubmit_store_down() {
    let mut deployment = start(plan());
    let id = Caller::own_id("outage");
    let works = works("outage", 4, 300);
    let killed = home(&deployment, &id);
    let fronts = others(&deployment, &killed);
    let first = persist_later(at(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 2);
    deployment.store.take_down();
    deployment.host(&killed).kill();
    let told = at(&mut deployment, &fronts[1]).deadline_ms(8_000).submit_job("orders", &id, &works);
    let told = told.expect("an answer during the outage");
    assert!(["unknown", "failed"].contains(&told.status_text().as_str()), "{}", told.body);
    deployment.store.bring_up();
    wait_moved(&deployment, &id, &killed);
    let again = persist(&at(&mut deployment, &fronts[2]), &id, &works).expect("a final answer");
    assert_whole(&again, &works);
    let first = first.join().expect("a caller").expect("a final answer");
    assert_whole(&first, &works);
    let next = same_shard(&deployment, &id, "next");
    let fresh = promise::works("next", 2, 20);
    let reply = persist(&at(&mut deployment, &fronts[0]), &next, &fresh).expect("a final answer");
    assert_eq!(reply.status_text(), "complete");
    assert_once(&deployment);
}

// The store carries the writes of a take-over out and loses the answers. The
// successor can't know whether it is the home; one that guesses starts again
// what another host may have started.
#[test]
fn resubmit_swap_answer_lost() {
    let mut deployment = start(plan());
    let id = Caller::own_id("lost");
    let works = works("lost", 4, 300);
    let killed = home(&deployment, &id);
    let fronts = others(&deployment, &killed);
    let first = persist_later(at(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 2);
    deployment.store.lose_answers(3);
    deployment.host(&killed).kill();
    wait_moved(&deployment, &id, &killed);
    for front in &fronts {
        let reply = persist(&at(&mut deployment, front), &id, &works).expect("a final answer");
        assert_whole(&reply, &works);
    }
    first.join().expect("a caller").expect("a final answer");
    assert_once(&deployment);
}

/// Makes an id of the same shard as `id`.
fn same_shard(deployment: &endivestile_testkit::Deployment, id: &str, key: &str) -> String {
    let shards = deployment.config().rules.shards;
    let shard =
        |id: &str| endivestile_kernel::SubmissionId::parse(id).expect("an id").shard(shards);
    let mut ids = (0..).map(|number| Caller::own_id(&format!("{key}{number}")));
    ids.find(|other| shard(other) == shard(id)).expect("ids without end")
}
