//! Calls to workers.

use endivestile_kernel::fleet::{
    CallError, FleetEvent, StartResult, WorkerCall, worker_call_deadline,
};
use endivestile_wire::adapter::Adapter;
use tokio::time::Instant;

use super::http_client::{HttpClient, HttpError};
use super::inbox::Inbox;
use crate::clock::Clock;

/// Makes calls to workers and posts their results to the engine.
#[derive(Debug, Clone)]
pub(crate) struct WorkerClient {
    /// The HTTP client.
    pub(crate) client: HttpClient,
    /// The platform adapter.
    pub(crate) adapter: &'static Adapter,
    /// The engine's inbox.
    pub(crate) inbox: Inbox,
    /// The process's clock.
    pub(crate) clock: Clock,
}

impl WorkerClient {
    /// Makes a call in a new task.
    pub(crate) fn call(&self, call: WorkerCall) {
        let deadline = self.clock.to_instant(worker_call_deadline(&call, self.clock.now()));
        let deadline = deadline.map_or_else(Instant::now, Instant::from_std);
        let worker_client = self.clone();
        tokio::spawn(async move {
            let event = worker_client.perform(call, deadline).await;
            worker_client.inbox.post_event(event);
        });
    }

    async fn perform(&self, call: WorkerCall, deadline: Instant) -> FleetEvent {
        let adapter = self.adapter;
        match call {
            WorkerCall::Start(order) => {
                let response = self
                    .client
                    .call(&order.address, (adapter.encode_start)(&order), deadline)
                    .await;
                let end = match response {
                    Ok((status, body)) => (adapter.decode_start)(status, &body),
                    Err(error) => StartResult::Failed(error.into()),
                };
                FleetEvent::StartEnded {
                    worker: order.worker,
                    task: order.task,
                    run: order.run,
                    end,
                }
            }
            WorkerCall::Stop(order) => {
                let response =
                    self.client.call(&order.address, (adapter.encode_stop)(&order), deadline).await;
                let end = match response {
                    Ok((status, body)) => (adapter.decode_stop)(status, &body),
                    Err(error) => Err(error.into()),
                };
                FleetEvent::StopEnded {
                    worker: order.worker,
                    task: order.task,
                    run: order.run,
                    end,
                }
            }
            WorkerCall::Renew(number, order) => {
                let response = self
                    .client
                    .call(&order.address, (adapter.encode_renewal)(&order), deadline)
                    .await;
                let end = match response {
                    Ok((status, body)) => (adapter.decode_renewal)(status, &body),
                    Err(error) => Err(error.into()),
                };
                FleetEvent::RenewalEnded { worker: order.worker, number, end }
            }
        }
    }
}

impl From<HttpError> for CallError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Unreachable => Self::Unreachable,
            HttpError::Lost => Self::Lost,
        }
    }
}
