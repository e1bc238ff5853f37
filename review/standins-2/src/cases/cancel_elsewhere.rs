//! The connection of a cancel is reset, and its retry reaches another host than the job's.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::http;
use crate::world::{World, job_id, submit};

/// Bound of the deployment for starts and runs after a cancel was acknowledged.
const CANCEL: Duration = Duration::from_millis(3_000);
/// Longest time that a stop takes.
const STOP: Duration = Duration::from_millis(50);
/// Steps of a job, one after another, each of one task.
const STEPS: usize = 16;
const JOBS: u32 = 3;

pub fn run(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    for number in 1..=6 {
        world.add_minion(&format!("m{number}"), "z1", "a", "z1-r1")?;
    }
    for number in 1..=3 {
        world.add_host(&format!("h{number}"), "z1", "0.25")?;
    }
    if !world.wait_ready() {
        return Ok(Verdict::NotRun("hosts are not ready".to_owned()));
    }
    let steps: Vec<_> = (0..STEPS)
        .map(|number| {
            let after: Vec<usize> = (0..number).rev().take(1).collect();
            json!({"Count": 1, "Cpu": 4000, "MemoryRequestMb": 64, "EstimatedMs": 500, "After": after})
        })
        .collect();
    let body = json!({"Spec": "ms=500", "BestEffort": true, "Steps": steps});
    let mut broken = false;
    for number in 0..JOBS {
        // The client's node by its hash, and the one that its retry reaches.
        let (first, second) = (number as usize % 3, (number as usize + 1) % 3);
        let front = relay(world.hosts[first].address, trouble)?;
        let id = job_id(1, number);
        let job = submit(&world.record, front, "orders", &id, &body, 12_000);
        thread::sleep(Duration::from_millis(700));
        let targets = [
            (&world.hosts[first].name, front),
            (&world.hosts[second].name, world.hosts[second].address),
        ];
        let Some(acked) = cancel(world, &id, &targets) else {
            return Ok(Verdict::NotRun("the cancel was not acknowledged".to_owned()));
        };
        let _ = job.join();
        broken |= breaches(world, &id, acked);
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends a cancel to one node after the other until one answers; returns when it did.
fn cancel(world: &World, id: &str, targets: &[(&String, SocketAddr)]) -> Option<Instant> {
    let headers = "Host: orders.example\r\nX-Deadline-Ms: 1500\r\n";
    let path = format!("/orders/{id}");
    for (name, address) in targets {
        world.record.line(&format!("client sends DELETE {id} to {name}"));
        let answer =
            http::call(*address, "DELETE", &path, headers, "", Duration::from_millis(1_500));
        world.record.line(&format!("client got {answer:?} for DELETE {id}"));
        if matches!(answer, Some((200..=299 | 410, _))) {
            return Some(Instant::now());
        }
    }
    None
}

/// Returns whether a task of the job started or ran on later than the bounds allow.
fn breaches(world: &World, id: &str, acked: Instant) -> bool {
    let mut broken = false;
    for run in world.runs().into_iter().filter(|run| run.task.starts_with(id)) {
        let end = run.end.map_or(Instant::now(), |(at, _)| at);
        if run.start > acked + CANCEL || end > acked + CANCEL + STOP {
            broken = true;
            let ms = |at: Instant| at.saturating_duration_since(acked).as_millis();
            world.record.line_at(
                run.start,
                &format!(
                    "BROKEN {} starts {} ms and ends {} ms after the cancel was acknowledged",
                    run.task,
                    ms(run.start),
                    ms(end)
                ),
            );
        }
    }
    broken
}

/// Passes connections on to a host; with `reset`, those that carry a cancel are reset instead.
fn relay(host: SocketAddr, reset: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::new(host.ip(), 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut head = [0; 6];
                let cancel =
                    client.peek(&mut head).is_ok_and(|count| head[..count].starts_with(b"DELETE"));
                // Closing a connection with unread bytes resets it.
                if reset && cancel {
                    return;
                }
                let Ok(server) = TcpStream::connect(host) else { return };
                let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
                thread::spawn(move || copy(from, to));
                copy(server, client);
            });
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
