//! Promises 2 and 3 with real processes: each caller gets the complete answer to its own request.

mod promise;

use std::thread;

use endivestile_testkit::{Caller, MachineFault, echo, wait_for};

use promise::{
    WAIT_LIMIT_S, assert_complete_or_failed, assert_once, caller_of, home, others, plan,
    spawn_submission, start, submit_until_final, wait_starts, works,
};

// The host that accepted a call is killed while the job runs at its home. The
// caller's connection breaks and it resubmits to another host, which must return
// the complete answer of the running job.
#[test]
fn answer_front_killed() {
    let mut deployment = start(plan());
    let id = Caller::own_id("front");
    let works = works("front", 6, 400);
    let home = home(&deployment, &id);
    let fronts = others(&deployment, &home);
    let first = spawn_submission(caller_of(&mut deployment, &fronts[0]), &id, &works);
    wait_starts(&deployment, 1);
    deployment.host(&fronts[0]).kill();
    assert!(first.join().expect("a caller").is_none(), "the connection broke");
    let reply = submit_until_final(&caller_of(&mut deployment, &home), &id, &works)
        .expect("a final answer");
    assert_complete_or_failed(&reply, &works);
    assert_once(&deployment);
}

// Callers submit the same id at the same moment to different hosts, as when a
// balancer distributes a repeated submission. All must get the same answer.
#[test]
fn answer_two_callers() {
    let mut deployment = start(plan());
    let id = Caller::own_id("twice");
    let works = works("twice", 5, 200);
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    let callers: Vec<_> = names
        .iter()
        .map(|name| spawn_submission(caller_of(&mut deployment, name), &id, &works))
        .collect();
    for reply in callers {
        let reply = reply.join().expect("a caller").expect("a final answer");
        assert_eq!(reply.status_text(), "complete", "{}", reply.body);
        assert_complete_or_failed(&reply, &works);
    }
    assert_once(&deployment);
}

// A caller reuses an id for other work. The answer of the first job would be
// wrong for it; the call is refused, and nothing starts.
#[test]
fn answer_other_body() {
    let mut deployment = start(plan());
    let id = Caller::own_id("body");
    let (mine, other) = (works("mine", 2, 300), works("other", 2, 20));
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    let first = spawn_submission(caller_of(&mut deployment, &names[0]), &id, &mine);
    wait_starts(&deployment, 1);
    for name in &names {
        let reply = submit_until_final(&caller_of(&mut deployment, name), &id, &other)
            .expect("a final answer");
        assert_eq!(reply.status, 422, "{}", reply.body);
    }
    let first = first.join().expect("a caller").expect("a final answer");
    assert_complete_or_failed(&first, &mine);
    assert_eq!(deployment.servers.starts_of("other-0"), 0);
    assert_once(&deployment);
}

// Answers arrive in another order than their requests, over connections that
// many callers share. Each caller must get the answer to its own request.
#[test]
fn answer_out_of_order() {
    const CALLERS: usize = 24;
    const CALLS: usize = 8;
    let mut deployment = start(plan());
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    deployment.servers.set_fault("a-s1", MachineFault::Straggle(30));
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = caller_of(&mut deployment, &names[number % names.len()]);
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

// A backend server truncates the answer of one task of a job. The job must fail,
// and the caller must not get the other tasks' results.
#[test]
fn answer_of_one_task_truncated() {
    let mut deployment = start(plan());
    deployment.servers.set_fault("a-s2", MachineFault::Truncate);
    let id = Caller::own_id("half");
    let works = works("half", 30, 60);
    let reply =
        submit_until_final(&caller_of(&mut deployment, "a1"), &id, &works).expect("a final answer");
    assert_complete_or_failed(&reply, &works);
    let hit = deployment.servers.starts_at("a-s2") > 0;
    assert_eq!(reply.status_text(), if hit { "failed" } else { "complete" });
    assert_once(&deployment);
}

// A job is cancelled as it ends. Whichever comes first, both callers must get the
// same outcome, and never a part of the job's results.
#[test]
fn answer_cancelled_at_end() {
    let mut deployment = start(plan());
    for round in 0..6 {
        let id = Caller::own_id(&format!("cancel-{round}"));
        let works = works(&format!("cancel-{round}"), 3, 100);
        let started = deployment.servers.total_starts();
        let first = spawn_submission(caller_of(&mut deployment, "a1"), &id, &works);
        wait_starts(&deployment, started + 3);
        let canceller = caller_of(&mut deployment, "b1");
        let running = || deployment.servers.running() > round % 3;
        assert!(wait_for(WAIT_LIMIT_S, || !running()), "tasks end");
        canceller.cancel(&id).expect("an answer");
        let reply = first.join().expect("a caller").expect("a final answer");
        let answer = reply.answer().expect("an answer");
        match answer.status.as_str() {
            "cancelled" => assert_eq!(answer.results, None),
            _ => assert_complete_or_failed(&reply, &works),
        }
    }
    assert_once(&deployment);
}
