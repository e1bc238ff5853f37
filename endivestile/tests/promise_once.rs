//! Promises 4 and 5, refusals are true and a payment runs at most once: with real processes.

mod promise;

use std::thread;

use endivestile_testkit::{Caller, Deployment, MachineFault, wait_for};

use promise::{PATIENCE_S, at, home, others, plan, start, wait_moved, works};

/// Sets the fault of every backend server.
fn set_all(deployment: &Deployment, fault: MachineFault) {
    for name in deployment.servers.names() {
        deployment.servers.set_fault(name, fault);
    }
}

/// Pays at each of the hosts, under an id for each payment; returns the status words.
fn pay(deployment: &mut Deployment, key: &str, count: usize) -> Vec<(String, String)> {
    let names: Vec<String> = deployment.hosts.iter().map(|host| host.name().to_owned()).collect();
    let mut told = Vec::new();
    for number in 0..count {
        let caller = at(deployment, &names[number % names.len()]).deadline_ms(3_000);
        let key = format!("{key}-{number}");
        let work = format!(r#"{{"key":"{key}","ms":5}}"#);
        let reply = caller.request("orders", Some(&Caller::own_id(&key)), &work);
        let reply = reply.expect("an answer");
        let word = if reply.status == 200 { "complete".to_owned() } else { reply.status_text() };
        told.push((key, word));
    }
    told
}

// Backend servers take a payment and close the connection without an answer.
// Nobody can tell whether the rent was paid; sent again, it would be paid twice.
#[test]
fn payment_server_closes() {
    let mut deployment = start(plan());
    set_all(&deployment, MachineFault::Close);
    let told = pay(&mut deployment, "closes", 8);
    assert!(told.iter().all(|(_, word)| word != "complete"), "{told:?}");
    assert!(told.iter().any(|(_, word)| word == "failed"), "{told:?}");
    for (key, word) in told {
        let starts = deployment.servers.starts_of(&key);
        assert!(starts <= 1, "{key} was paid {starts} times");
        assert!(word != "not run" || starts == 0, "{key} was told not run");
    }
}

// Half of the servers refuse connections. Nothing was sent to them, so that
// the payment may go to another one; callers must not notice.
#[test]
fn payment_server_refuses() {
    let mut deployment = start(plan());
    for server in ["a-s1", "b-s2"] {
        deployment.servers.set_fault(server, MachineFault::Refuse);
    }
    for (key, word) in pay(&mut deployment, "refuses", 12) {
        assert_eq!((word.as_str(), deployment.servers.starts_of(&key)), ("complete", 1), "{key}");
    }
}

// All servers are full until the deadline. No payment may have reached a till,
// and none may be told that it was made. Whoever is told that it failed can't
// tell from that whether it ran; what is told not run has not.
#[test]
fn payment_all_busy() {
    let mut deployment = start(plan());
    set_all(&deployment, MachineFault::Busy);
    let told = pay(&mut deployment, "busy", 3);
    for (key, word) in told {
        assert!(["not run", "unknown", "failed"].contains(&word.as_str()), "{key} was told {word}");
        assert_eq!(deployment.servers.starts_of(&key), 0, "{key}");
    }
}

// The servers close their idle connections between two payments. The next one
// meets a connection that is dead already; whatever is told, it is paid once.
#[test]
fn payment_stale_connections() {
    let mut deployment = start(plan());
    for round in 0..4 {
        for (key, word) in pay(&mut deployment, &format!("stale-{round}"), 8) {
            let starts = deployment.servers.starts_of(&key);
            assert!(starts <= 1, "{key} was paid {starts} times");
            assert!(word != "complete" || starts == 1, "{key} was told complete");
            assert!(word != "not run" || starts == 0, "{key} was told not run");
        }
        for name in deployment.servers.names() {
            deployment.servers.close_connections(name);
        }
    }
}

// The home stands still while payments come in by another host. Those that are
// refused as not run while it is away must not start when it wakes up.
#[test]
fn refusal_home_paused() {
    let mut deployment = start(plan());
    let id = Caller::own_id("paused");
    let paused = home(&deployment, &id);
    let front = others(&deployment, &paused)[0].clone();
    deployment.host(&paused).pause();
    let caller = at(&mut deployment, &front).deadline_ms(1_000);
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
    let told: Vec<_> = calls.into_iter().map(|call| call.join().expect("a caller")).collect();
    wait_moved(&deployment, &id, &paused);
    deployment.host(&paused).resume();
    let woken = at(&mut deployment, &paused);
    let awake = || woken.status().is_ok_and(|page| page["active"] == 0);
    assert!(wait_for(PATIENCE_S, awake), "the woken host has nothing to do");
    assert!(wait_for(PATIENCE_S, || deployment.servers.running() == 0), "servers are idle");
    for (key, word) in told {
        for task in 0..2 {
            let starts = deployment.servers.starts_of(&format!("{key}-{task}"));
            assert!(starts <= 1, "{key} started {starts} times");
            assert!(word != "not run" || starts == 0, "{key} was told not run");
            assert!(word != "complete" || starts == 1, "{key} was told complete");
        }
    }
}
