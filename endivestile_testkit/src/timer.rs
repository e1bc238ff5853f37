//! Timer with a finer resolution than Tokio's, which rounds up to milliseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Instant;

use tokio::sync::oneshot;

/// A pending wake-up of one task.
struct Alarm {
    at: Instant,
    number: u64,
    waker: oneshot::Sender<()>,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Sleeps until `at`.
pub(crate) async fn sleep_until(at: Instant) {
    static TIMER: OnceLock<Sender<(Instant, oneshot::Sender<()>)>> = OnceLock::new();
    if at <= Instant::now() {
        return;
    }
    let timer = TIMER.get_or_init(|| {
        let (sender, receiver) = channel();
        thread::spawn(move || run_timer(&receiver));
        sender
    });
    let (waker, woken) = oneshot::channel();
    // Neither call fails, as the timer thread runs until the process ends.
    let _ = timer.send((at, waker));
    let _ = woken.await;
}

fn run_timer(receiver: &Receiver<(Instant, oneshot::Sender<()>)>) {
    let mut alarms: BinaryHeap<Reverse<Alarm>> = BinaryHeap::new();
    let mut number = 0;
    loop {
        let now = Instant::now();
        while alarms.peek().is_some_and(|Reverse(alarm)| alarm.at <= now) {
            if let Some(Reverse(alarm)) = alarms.pop() {
                // Sending fails when the sleeping task was dropped.
                let _ = alarm.waker.send(());
            }
        }
        let received = match alarms.peek() {
            Some(Reverse(alarm)) => receiver.recv_timeout(alarm.at.saturating_duration_since(now)),
            None => receiver.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok((at, waker)) => {
                number += 1;
                alarms.push(Reverse(Alarm { at, number, waker }));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
