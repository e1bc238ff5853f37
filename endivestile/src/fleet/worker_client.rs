//! Calls to workers.

use endivestile_kernel::fleet::{
    CallError, FleetEvent, StartResult, WorkerCall, worker_call_deadline,
};
use endivestile_wire::adapter::Adapter;
use tokio::time::Instant;

use super::http_client::{HttpClient, HttpError};
use super::inbox::Inbox;
use crate::clock::Clock;

/// Makes calls to workers and tells the engine how they ended.
#[derive(Debug, Clone)]
pub(crate) struct WorkerClient {
    /// The client.
    pub(crate) client: HttpClient,
    /// The translation.
    pub(crate) adapter: &'static Adapter,
    /// The engine.
    pub(crate) inbox: Inbox,
    /// The process's clock.
    pub(crate) clock: Clock,
}

impl WorkerClient {
    /// Makes a call, on a task of its own.
    pub(crate) fn call(&self, call: WorkerCall) {
        let due = self.clock.to_instant(worker_call_deadline(&call, self.clock.now()));
        let due = due.map_or_else(Instant::now, Instant::from_std);
        let workers = self.clone();
        tokio::spawn(async move {
            let event = workers.carry(call, due).await;
            workers.inbox.post_event(event);
        });
    }

    async fn carry(&self, call: WorkerCall, due: Instant) -> FleetEvent {
        let adapter = self.adapter;
        match call {
            WorkerCall::Start(order) => {
                let answer =
                    self.client.call(&order.address, (adapter.encode_start)(&order), due).await;
                let end = match answer {
                    Ok((status, body)) => (adapter.decode_start)(status, &body),
                    Err(fault) => StartResult::Failed(fault.into()),
                };
                FleetEvent::StartResult {
                    worker: order.worker,
                    task: order.task,
                    run: order.run,
                    end,
                }
            }
            WorkerCall::Stop(order) => {
                let answer =
                    self.client.call(&order.address, (adapter.encode_stop)(&order), due).await;
                let end = match answer {
                    Ok((status, body)) => (adapter.decode_stop)(status, &body),
                    Err(fault) => Err(fault.into()),
                };
                FleetEvent::StopResult {
                    worker: order.worker,
                    task: order.task,
                    run: order.run,
                    end,
                }
            }
            WorkerCall::Renew(number, order) => {
                let answer =
                    self.client.call(&order.address, (adapter.encode_renewal)(&order), due).await;
                let end = match answer {
                    Ok((status, body)) => (adapter.decode_renewal)(status, &body),
                    Err(fault) => Err(fault.into()),
                };
                FleetEvent::RenewalResult { worker: order.worker, number, end }
            }
        }
    }
}

impl From<HttpError> for CallError {
    fn from(fault: HttpError) -> Self {
        match fault {
            HttpError::Unreachable => Self::Unreachable,
            HttpError::Lost => Self::Lost,
        }
    }
}
