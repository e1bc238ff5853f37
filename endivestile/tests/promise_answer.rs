//! Promises 2 and 3, each caller gets the whole answer to its own request: with real processes.

mod promise;

use std::thread;

use endivestile_testkit::{Caller, MachineFault, echo, wait_for};

use promise::{
    PATIENCE_S, assert_once, assert_whole, at, home, others, persist, persist_later, plan, start,
    wait_starts, works,
};

// The host that took a call dies while the job runs at its home. The caller
// sees a broken connection and comes back by another host, which must give it
// the whole answer of the job that is under way.
#[test]
fn answer_front_killed() {
    let mut deployment = start(plan());
    let id = Caller::own_id("front");
    let works = works("front", 6, 400);
    let home = home(&deployment, &id);
    let fronts = others(&deployment, &home);
    let first = persist_later(at(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 1);
    deployment.host(&fronts[0]).kill();
    assert!(first.join().expect("a caller").is_none(), "the connection broke");
    let reply = persist(&at(&mut deployment, &home), &id, &works).expect("a final answer");
    assert_whole(&reply, &works);
    assert_once(&deployment);
}

// Two callers submit one id at the same moment by two hosts: a trader taps
// twice, and the balancer sends the taps apart. Both must get the one answer.
#[test]
fn answer_two_callers() {
    let mut deployment = start(plan());
    let id = Caller::own_id("twice");
    let works = works("twice", 5, 200);
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    let callers: Vec<_> =
        names.iter().map(|name| persist_later(at(&mut deployment, name), &id, &works)).collect();
    for reply in callers {
        let reply = reply.join().expect("a caller").expect("a final answer");
        assert_eq!(reply.status_text(), "complete", "{}", reply.body);
        assert_whole(&reply, &works);
    }
    assert_once(&deployment);
}

// A caller uses an id again for other work. Given the first job's answer it
// would take another's result for its own; it is refused, and nothing starts.
#[test]
fn answer_other_body() {
    let mut deployment = start(plan());
    let id = Caller::own_id("body");
    let (mine, other) = (works("mine", 2, 300), works("other", 2, 20));
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    let first = persist_later(at(&mut deployment, &names[0]), &id, &mine);
    wait_starts(&deployment, 1);
    for name in &names {
        let reply = persist(&at(&mut deployment, name), &id, &other).expect("a final answer");
        assert_eq!(reply.status, 422, "{}", reply.body);
    }
    let first = first.join().expect("a caller").expect("a final answer");
    assert_whole(&first, &mine);
    assert_eq!(deployment.servers.starts_of("other-0"), 0);
    assert_once(&deployment);
}

// Answers come in another order than their requests, over connections that
// many callers share. Each caller must find its own words in its answer.
#[test]
fn answer_out_of_order() {
    const CALLERS: usize = 24;
    const CALLS: usize = 8;
    let mut deployment = start(plan());
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    deployment.servers.set_fault("a-s1", MachineFault::Straggle(30));
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = at(&mut deployment, &names[number % names.len()]);
            thread::spawn(move || {
                for call in 0..CALLS {
                    let ms = 5 + (number * 7 + call * 13) % 40;
                    let work = format!(r#"{{"key":"own-{number}-{call}","ms":{ms}}}"#);
                    let reply = caller.request("orders", None, &work).expect("an answer");
                    assert_eq!((reply.status, reply.body), (200, echo(&work)));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("a caller with its own answers");
    }
}

// A backend server cuts the answer of one task of a job half-way. The caller
// must be told that the job failed, never be handed the other tasks' results.
#[test]
fn answer_half_of_one() {
    let mut deployment = start(plan());
    deployment.servers.set_fault("a-s2", MachineFault::Truncate);
    let id = Caller::own_id("half");
    let works = works("half", 30, 60);
    let reply = persist(&at(&mut deployment, "a1"), &id, &works).expect("a final answer");
    assert_whole(&reply, &works);
    let hit = deployment.servers.starts_at("a-s2") > 0;
    assert_eq!(reply.status_text(), if hit { "failed" } else { "complete" });
    assert_once(&deployment);
}

// A caller cancels while its job ends. Whichever comes first, both callers
// are told the same, and no part of the job's results.
#[test]
fn answer_cancelled_at_end() {
    let mut deployment = start(plan());
    for round in 0..6 {
        let id = Caller::own_id(&format!("cancel-{round}"));
        let works = works(&format!("cancel-{round}"), 3, 100);
        let started = deployment.servers.total_starts();
        let first = persist_later(at(&mut deployment, "a1"), &id, &works);
        wait_starts(&deployment, started + 3);
        let canceller = at(&mut deployment, "b1");
        let running = || deployment.servers.running() > round % 3;
        assert!(wait_for(PATIENCE_S, || !running()), "tasks end");
        canceller.cancel(&id).expect("an answer");
        let reply = first.join().expect("a caller").expect("a final answer");
        let answer = reply.answer().expect("an answer");
        match answer.status.as_str() {
            "cancelled" => assert_eq!(answer.results, None),
            _ => assert_whole(&reply, &works),
        }
    }
    assert_once(&deployment);
}
