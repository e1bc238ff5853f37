//! Promises 4 and 5 with real processes: refusals are correct, and a payment runs at most once.

mod promise;

use std::thread;

use endivestile_testkit::{Caller, Deployment, MachineFault, wait_for};

use promise::{WAIT_LIMIT_S, caller_of, home, others, plan, start, wait_taken_over, works};

/// Sets the fault of every backend server.
fn set_all(deployment: &Deployment, fault: MachineFault) {
    for name in deployment.servers.names() {
        deployment.servers.set_fault(name, fault);
    }
}

/// Submits payments to the hosts in turn, each under an id of its own. Returns the key
/// and reported status of each.
fn pay(deployment: &mut Deployment, key: &str, count: usize) -> Vec<(String, String)> {
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    let mut outcomes = Vec::new();
    for number in 0..count {
        let caller = caller_of(deployment, &names[number % names.len()]).deadline_ms(3_000);
        let key = format!("{key}-{number}");
        let work = format!(r#"{{"key":"{key}","ms":5}}"#);
        let reply = caller.request("orders", Some(&Caller::own_id(&key)), &work);
        let reply = reply.expect("an answer");
        let outcome = if reply.status == 200 { "complete".to_owned() } else { reply.status_text() };
        outcomes.push((key, outcome));
    }
    outcomes
}

// Backend servers accept a payment and close the connection without an answer. It
// is unknown whether it was made, so that sending it again could make it twice.
#[test]
fn payment_server_closes() {
    let mut deployment = start(plan());
    set_all(&deployment, MachineFault::Close);
    let outcomes = pay(&mut deployment, "closes", 8);
    assert!(outcomes.iter().all(|(_, outcome)| outcome != "complete"), "{outcomes:?}");
    assert!(outcomes.iter().any(|(_, outcome)| outcome == "failed"), "{outcomes:?}");
    for (key, outcome) in outcomes {
        let starts = deployment.servers.starts_of(&key);
        assert!(starts <= 1, "{key} was paid {starts} times");
        assert!(outcome != "not run" || starts == 0, "{key} was reported as not run");
    }
}

// Half of the servers refuse connections. Nothing was sent to them, so payments
// may go to other servers, and callers must not notice.
#[test]
fn payment_server_refuses() {
    let mut deployment = start(plan());
    for server in ["a-s1", "b-s2"] {
        deployment.servers.set_fault(server, MachineFault::Refuse);
    }
    for (key, outcome) in pay(&mut deployment, "refuses", 12) {
        assert_eq!(
            (outcome.as_str(), deployment.servers.starts_of(&key)),
            ("complete", 1),
            "{key}"
        );
    }
}

// All servers are busy until the deadline. No payment may start or be reported as
// complete. A "failed" status leaves open whether the task ran; "not run" states
// that it did not.
#[test]
fn payment_all_busy() {
    let mut deployment = start(plan());
    set_all(&deployment, MachineFault::Busy);
    let outcomes = pay(&mut deployment, "busy", 3);
    for (key, outcome) in outcomes {
        assert!(
            ["not run", "unknown", "failed"].contains(&outcome.as_str()),
            "{key} was reported as {outcome}"
        );
        assert_eq!(deployment.servers.starts_of(&key), 0, "{key}");
    }
}

// The servers close their idle connections between payments. The next payments
// find closed connections; whatever is reported, each runs at most once.
#[test]
fn payment_stale_connections() {
    let mut deployment = start(plan());
    for round in 0..4 {
        for (key, outcome) in pay(&mut deployment, &format!("stale-{round}"), 8) {
            let starts = deployment.servers.starts_of(&key);
            assert!(starts <= 1, "{key} was paid {starts} times");
            assert!(outcome != "complete" || starts == 1, "{key} was reported as complete");
            assert!(outcome != "not run" || starts == 0, "{key} was reported as not run");
        }
        for name in deployment.servers.names() {
            deployment.servers.close_connections(name);
        }
    }
}

// The home is paused while payments arrive at another host. Those that are refused
// as not run meanwhile must not start when the home resumes.
#[test]
fn refusal_home_paused() {
    let mut deployment = start(plan());
    let id = Caller::own_id("paused");
    let paused = home(&deployment, &id);
    let front = others(&deployment, &paused)[0].clone();
    deployment.host(&paused).pause();
    let caller = caller_of(&mut deployment, &front).deadline_ms(1_000);
    let calls: Vec<_> = (0..40)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                let key = format!("away-{number}");
                let works = works(&key, 2, 5);
                let reply = caller.submit_job("orders", &Caller::own_id(&key), &works);
                (key, reply.expect("an answer").status_text())
            })
        })
        .collect();
    let outcomes: Vec<_> = calls.into_iter().map(|call| call.join().expect("a caller")).collect();
    wait_taken_over(&deployment, &id, &paused);
    deployment.host(&paused).resume();
    let resumed = caller_of(&mut deployment, &paused);
    let idle = || resumed.status().is_ok_and(|page| page["active"] == 0);
    assert!(wait_for(WAIT_LIMIT_S, idle), "the resumed host is idle");
    assert!(wait_for(WAIT_LIMIT_S, || deployment.servers.running() == 0), "servers are idle");
    for (key, outcome) in outcomes {
        for task in 0..2 {
            let starts = deployment.servers.starts_of(&format!("{key}-{task}"));
            assert!(starts <= 1, "{key} started {starts} times");
            assert!(outcome != "not run" || starts == 0, "{key} was reported as not run");
            assert!(outcome != "complete" || starts == 1, "{key} was reported as complete");
        }
    }
}
