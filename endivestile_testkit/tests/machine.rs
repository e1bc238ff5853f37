//! Tests of the stand-ins for backend servers and workers over HTTP.

use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{BackendStandIn, MachineFault, MachineSpec, WorkerStandIn, echo};
use test_case::test_case;
use ureq::Agent;

const WORK: &str = r#"{"key":"k1","ms":5}"#;

fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).build().new_agent()
}

fn server() -> BackendStandIn {
    BackendStandIn::start(vec![MachineSpec::new("s1").slots(2)]).expect("start")
}

/// Returns status, `Not-Run` header and body.
fn post(agent: &Agent, url: &str, work: &str) -> Result<(u16, String, String), ureq::Error> {
    let call = agent.post(url).header("Task-Key", "t1").header("Lease-Ms", "60000");
    let mut answer = call.send(work)?;
    let header = answer.headers().get("Not-Run").and_then(|value| value.to_str().ok());
    let reason = header.unwrap_or_default().to_owned();
    Ok((answer.status().as_u16(), reason, answer.body_mut().read_to_string()?))
}

fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met within 10 s");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn post_many_at_once() {
    let specs = (0..10).map(|n| MachineSpec::new(format!("s{n}")).slots(40)).collect();
    let servers = BackendStandIn::start(specs).expect("start");
    thread::scope(|scope| {
        for n in 0..400 {
            let address = servers.address(&format!("s{}", n % 10));
            scope.spawn(move || {
                let work = format!(r#"{{"key":"k{n}","ms":100}}"#);
                let (status, _, body) =
                    post(&agent(), &format!("http://{address}/"), &work).expect("answer");
                assert_eq!((status, body), (200, echo(&work)));
            });
        }
    });
    assert_eq!(servers.starts().len(), 400);
    assert!(servers.duplicate_starts().is_empty());
    assert_eq!(servers.running(), 0);
}

#[test_case(MachineFault::None, Some((200, "")), 1; "none")]
#[test_case(MachineFault::Refuse, None, 0; "refuse")]
#[test_case(MachineFault::Close, None, 1; "close")]
#[test_case(MachineFault::Truncate, None, 1; "half")]
#[test_case(MachineFault::Delay(5), Some((200, "")), 1; "late")]
#[test_case(MachineFault::Status(500), Some((500, "")), 1; "status")]
#[test_case(MachineFault::Busy, Some((503, "busy")), 0; "busy")]
#[test_case(MachineFault::Leaving, Some((503, "leaving")), 0; "leaving")]
#[test_case(MachineFault::Straggle(100), Some((200, "")), 1; "straggle")]
fn post_fault(fault: MachineFault, expected: Option<(u16, &str)>, starts: usize) {
    // For each fault the caller sees an answer, an error status or a broken connection, and the
    // number of starts shows whether the task ran.
    let servers = server();
    servers.set_fault("s1", fault);
    let url = format!("http://{}/order", servers.address("s1"));
    if fault == MachineFault::Refuse {
        let address = servers.address("s1");
        wait_until(|| std::net::TcpStream::connect(address).is_err());
    }
    let answer = post(&agent(), &url, WORK).ok();
    let observed = answer.as_ref().map(|(status, reason, _)| (*status, reason.as_str()));
    assert_eq!(observed, expected);
    assert_eq!(servers.starts_of("k1"), starts);
    servers.set_fault("s1", MachineFault::None);
    wait_until(|| post(&agent(), &url, WORK).is_ok_and(|(status, ..)| status == 200));
}

#[test]
fn post_all_slots_taken() {
    // With all slots taken, the server answers busy and does not start another task.
    let servers = server();
    let url = format!("http://{}/", servers.address("s1"));
    thread::scope(|scope| {
        for n in 0..2 {
            let url = &url;
            scope.spawn(move || post(&agent(), url, &format!(r#"{{"key":"long{n}","ms":1000}}"#)));
        }
        wait_until(|| servers.running() == 2);
        let (status, reason, _) = post(&agent(), &url, WORK).expect("answer");
        assert_eq!((status, reason.as_str()), (503, "busy"));
    });
    assert_eq!(
        (servers.peak_running("s1"), servers.rejections(), servers.starts_of("k1")),
        (2, 1, 0)
    );
}

#[test]
fn post_connection_broken() {
    // The connection breaks while a task runs. The caller gets no answer, and the task continues.
    let servers = server();
    let url = format!("http://{}/", servers.address("s1"));
    thread::scope(|scope| {
        let call = scope.spawn(|| post(&agent(), &url, r#"{"key":"k2","ms":200}"#));
        wait_until(|| servers.running() == 1);
        servers.close_connections("s1");
        assert!(call.join().expect("thread").is_err());
    });
    assert_eq!((servers.running(), servers.starts_of("k2")), (1, 1));
    wait_until(|| servers.running() == 0);
}

#[test]
fn run_lease_expires() {
    // A lease expires without renewal. The worker stops the task and answers 410.
    let workers = WorkerStandIn::start(vec![MachineSpec::new("w1")]).expect("start");
    let url = format!("http://{}/v1/run", workers.address("w1"));
    let call = agent().post(url).header("Task-Key", "t1").header("Lease-Ms", "50");
    let answer = call.send(r#"{"key":"k","ms":60000}"#).expect("answer");
    assert_eq!(answer.status().as_u16(), 410);
    assert_eq!(workers.running(), 0);
}

#[test]
fn run_stop_and_usage() {
    let workers = WorkerStandIn::start(vec![MachineSpec::new("w1")]).expect("start");
    let base = format!("http://{}/v1", workers.address("w1"));
    thread::scope(|scope| {
        let call = scope.spawn(|| {
            post(&agent(), &format!("{base}/run"), r#"{"key":"k","ms":60000}"#).expect("answer").0
        });
        wait_until(|| workers.running() == 1);
        let usage = || {
            let mut answer = agent().get(format!("{base}/usage")).call().expect("usage");
            answer.body_mut().read_to_string().expect("body")
        };
        // The usage report lags, so it shows the task only later.
        assert!(usage().contains(r#""running":0"#));
        wait_until(|| usage().contains(r#""running":1"#));
        let task = format!("{base}/tasks/t1");
        assert_eq!(post(&agent(), &format!("{task}/throttle"), "50").expect("answer").0, 200);
        let (_, _, body) = post(&agent(), &format!("{task}/checkpoint"), "").expect("answer");
        assert!(body.contains("done_percent"));
        assert_eq!(agent().delete(&task).call().expect("answer").status().as_u16(), 200);
        assert_eq!(call.join().expect("thread"), 410);
        assert_eq!(agent().delete(&task).call().expect("answer").status().as_u16(), 404);
    });
}
