//! A caller of an entry host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use endivestile_wire::call::{
    AnswerBody, DEADLINE_HEADER, ID_HEADER, JobBody, TEAM_HEADER, TaskBody,
};
use serde_json::Value;
use ureq::http::Response;
use ureq::{Agent, Body};

/// Milliseconds that a caller waits longer than its deadline.
const PATIENCE_MS: u64 = 5_000;

/// An entry host's answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Seconds after which to come back, if the host named them.
    pub retry_s: Option<u64>,
    /// Body.
    pub body: String,
}

impl Reply {
    /// Reads the body as that of a job's answer or a refusal.
    pub fn answer(&self) -> Option<AnswerBody> {
        serde_json::from_str(&self.body).ok()
    }

    /// Returns the status word of the body, empty when it has none.
    pub fn status_text(&self) -> String {
        self.answer().map(|answer| answer.status).unwrap_or_default()
    }
}

/// Calls one entry host on behalf of one team.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Agent, shared by clones.
    agent: Agent,
    /// URL of the host.
    base: String,
    /// Team.
    team: String,
    /// Time left until the deadline of each call, in milliseconds.
    deadline_ms: u64,
}

impl Caller {
    /// Makes a caller of the host at `address`, with a deadline of 30 seconds.
    pub fn new(address: impl std::fmt::Display, team: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections_per_host(1_024)
            .max_idle_connections(8_192)
            .build()
            .into();
        let team = team.to_owned();
        Self { agent, base: format!("http://{address}"), team, deadline_ms: 30_000 }
    }

    /// Calls another host through the same agent.
    pub fn with_address(&self, address: impl std::fmt::Display) -> Self {
        Self { base: format!("http://{address}"), ..self.clone() }
    }

    /// Calls on behalf of another team through the same agent.
    pub fn team(self, team: &str) -> Self {
        Self { team: team.to_owned(), ..self }
    }

    /// Sets the deadline of each call from its sending.
    pub fn deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }

    /// Sends a request; without an id it is idempotent.
    ///
    /// # Errors
    /// A connection that failed or broke.
    pub fn request(
        &self,
        service: &str,
        id: Option<&str>,
        work: &str,
    ) -> Result<Reply, ureq::Error> {
        let url = format!("{}/v1/requests/{service}", self.base);
        self.post(&url, id, id.is_none(), work)
    }

    /// Submits a job of tasks for one service.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn submit_job(
        &self,
        service: &str,
        id: &str,
        works: &[String],
    ) -> Result<Reply, ureq::Error> {
        let task = |work: &String| TaskBody {
            service: Some(service.to_owned()),
            need: None,
            declared_ms: None,
            work: work.clone(),
        };
        self.submit_tasks(id, works.iter().map(task).collect())
    }

    /// Submits a job of any tasks.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn submit_tasks(&self, id: &str, tasks: Vec<TaskBody>) -> Result<Reply, ureq::Error> {
        // A struct of strings and numbers always has a JSON form.
        let body = serde_json::to_string(&JobBody { tasks }).unwrap_or_default();
        self.post(&format!("{}/v1/jobs", self.base), Some(id), false, &body)
    }

    /// Asks for the answer to an id.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn fetch_answer(&self, id: &str) -> Result<Reply, ureq::Error> {
        reply(self.agent.get(self.submission(id)).call()?)
    }

    /// Cancels a submission.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn cancel(&self, id: &str) -> Result<Reply, ureq::Error> {
        reply(self.agent.delete(self.submission(id)).call()?)
    }

    /// Fetches ids that this host minted, up to 1,000.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn fetch_ids(&self, count: usize) -> Result<Vec<String>, ureq::Error> {
        let url = format!("{}/v1/ids?count={count}", self.base);
        let body = self.agent.post(url).send_empty()?.body_mut().read_to_string()?;
        let page: Value = serde_json::from_str(&body).unwrap_or_default();
        let ids = page["ids"].as_array().map(Vec::as_slice).unwrap_or_default();
        Ok(ids.iter().filter_map(|id| id.as_str().map(str::to_owned)).collect())
    }

    /// Reads the state of the host.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn status(&self) -> Result<Value, ureq::Error> {
        let body = reply(self.agent.get(format!("{}/status", self.base)).call()?)?.body;
        Ok(serde_json::from_str(&body).unwrap_or_default())
    }

    fn submission(&self, id: &str) -> String {
        format!("{}/v1/submissions/{id}", self.base)
    }

    fn post(
        &self,
        url: &str,
        id: Option<&str>,
        idempotent: bool,
        body: &str,
    ) -> Result<Reply, ureq::Error> {
        let wait = Duration::from_millis(self.deadline_ms + PATIENCE_MS);
        let mut call = self.agent.post(url).config().timeout_global(Some(wait)).build();
        call = call.header(TEAM_HEADER, &self.team);
        call = call.header(DEADLINE_HEADER, self.deadline_ms.to_string());
        call = call.header("Idempotent", idempotent.to_string());
        if let Some(id) = id {
            call = call.header(ID_HEADER, id);
        }
        reply(call.send(body)?)
    }

    /// Makes an id of the caller's own, dated now.
    pub fn own_id(key: &str) -> String {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        format!("{}:{key}", since.as_secs())
    }
}

fn reply(mut response: Response<Body>) -> Result<Reply, ureq::Error> {
    let status = response.status().as_u16();
    let header = response.headers().get("Retry-After").and_then(|value| value.to_str().ok());
    let retry_s = header.and_then(|text| text.parse().ok());
    let body = response.body_mut().read_to_string()?;
    Ok(Reply { status, retry_s, body })
}
