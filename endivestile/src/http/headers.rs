//! Parses the headers of a submission.

use endivestile_config::CallSettings;
use endivestile_kernel::{IdForm, MAX_CLOCK_SKEW_S, SubmissionId};
use endivestile_wire::call::{DEADLINE_HEADER, ID_HEADER, TEAM_HEADER};
use http::request::Parts;

use super::invalid_request::InvalidRequest;
use crate::clock::since_epoch;

/// Header that requests minted ids with the reply.
pub(crate) const WANT_IDS_HEADER: &str = "Want-Ids";
/// Header that marks a request as idempotent.
pub(crate) const IDEMPOTENT_HEADER: &str = "Idempotent";
/// Most minted ids in a reply.
const MAX_REQUESTED_IDS: usize = 16;

/// Headers of a submission, validated as far as possible without a configuration.
#[derive(Debug)]
pub(crate) struct SubmissionHeaders {
    /// Id of the submission, if the caller gave one.
    pub(crate) id: Option<SubmissionId>,
    /// Name of the team.
    pub(crate) team: String,
    /// Time left until the deadline, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Whether the task may be started more than once.
    pub(crate) idempotent: bool,
}

impl SubmissionHeaders {
    /// Parses the headers.
    pub(crate) fn parse(head: &Parts, settings: &CallSettings) -> Result<Self, InvalidRequest> {
        let team = header(head, TEAM_HEADER)?;
        let team = team.ok_or_else(|| InvalidRequest::field(TEAM_HEADER, "missing"))?;
        let parsed = Self {
            id: id(head)?,
            team: team.to_owned(),
            remaining_ms: remaining(head, settings)?,
            idempotent: idempotent(head)?,
        };
        if parsed.id.is_none() && !parsed.idempotent {
            // Without an id a resubmission looks like a new submission, and a
            // caller that lost its answer would start the task a second time.
            return Err(InvalidRequest::field(
                ID_HEADER,
                "missing, and the call is not idempotent",
            ));
        }
        Ok(parsed)
    }
}

/// Returns how many minted ids the caller requests with its reply.
pub(crate) fn requested_ids(head: &Parts) -> Result<usize, InvalidRequest> {
    let Some(text) = header(head, WANT_IDS_HEADER)? else { return Ok(0) };
    let count = text.parse().ok().filter(|count| *count <= MAX_REQUESTED_IDS);
    count.ok_or_else(|| {
        InvalidRequest::field(WANT_IDS_HEADER, format!("accepted: 0 to {MAX_REQUESTED_IDS}"))
    })
}

/// Returns a header's value. A repeated header is rejected as ambiguous.
fn header<'a>(head: &'a Parts, name: &'static str) -> Result<Option<&'a str>, InvalidRequest> {
    let mut found = head.headers.get_all(name).iter();
    let value = found.next();
    if found.next().is_some() {
        return Err(InvalidRequest::field(name, "given twice"));
    }
    let text = value.map(|value| value.to_str().map(str::trim)).transpose();
    text.map_err(|_| InvalidRequest::field(name, "accepted: visible ASCII characters"))
}

fn id(head: &Parts) -> Result<Option<SubmissionId>, InvalidRequest> {
    let Some(text) = header(head, ID_HEADER)? else { return Ok(None) };
    let id =
        SubmissionId::parse(text).map_err(|e| InvalidRequest::field(ID_HEADER, e.to_string()))?;
    if let IdForm::Dated(secs) = id.form() {
        // The table of known ids would drop one dated further ahead while it is still valid.
        let latest = since_epoch().as_secs() + MAX_CLOCK_SKEW_S;
        if *secs > latest {
            let reason = format!("dated {} s ahead of this host", secs - latest + MAX_CLOCK_SKEW_S);
            return Err(InvalidRequest::field(ID_HEADER, reason));
        }
    }
    Ok(Some(id))
}

fn remaining(head: &Parts, settings: &CallSettings) -> Result<u64, InvalidRequest> {
    let Some(text) = header(head, DEADLINE_HEADER)? else {
        return Ok(settings.default_deadline_ms);
    };
    let max_ms = settings.max_deadline_ms;
    let remaining = text.parse().ok().filter(|remaining| (1..=max_ms).contains(remaining));
    remaining.ok_or_else(|| {
        InvalidRequest::field(DEADLINE_HEADER, format!("accepted: 1 to {max_ms} ms"))
    })
}

fn idempotent(head: &Parts) -> Result<bool, InvalidRequest> {
    match header(head, IDEMPOTENT_HEADER)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(InvalidRequest::field(IDEMPOTENT_HEADER, "accepted: true, false")),
    }
}
