//! Interface between the daemon and an adapter to the users' platform.
//!
//! The daemon transports HTTP messages whose paths and bodies are opaque to it; the
//! kernel works on typed values. An adapter is a table of pure functions that convert
//! between the two. Adapters register themselves by name; the settings select one.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::Time;
use endivestile_kernel::fleet::{
    CallError, Job, JobEnd, RenewReply, RenewRequest, RouteTable, StartRequest, StartResult,
    StopRequest, WorkerEntry,
};
use http::request::Parts;
use http::{Request, Response, StatusCode};

/// Request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerRequest {
    /// Run a job and respond once it has ended.
    Submit(Box<Job>),
    /// Get the number of accepted jobs of a route that are waiting.
    Pending(Name),
    /// Get the state of the job with this id.
    State(Name),
    /// Cancel the job with this id.
    Cancel(Name),
    /// Get whether the host accepts new connections.
    Ready,
    /// Invalid or unsupported request.
    Refuse(Refused),
}

/// A request that the adapter refuses without involving the kernel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Status of the response.
    pub status: StatusCode,
    /// Reason, with the name of the invalid field if there is one.
    pub reason: String,
}

impl Refused {
    /// Returns a refusal with a status and a reason.
    pub fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into() }
    }
}

/// Response to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerResponse {
    /// How its job ended, and the current time.
    Ended(JobEnd, Time),
    /// Number of accepted jobs of the route that are waiting.
    Pending(u32),
    /// Whether this host is processing the job with that id.
    Running(bool),
    /// Whether there was a job to cancel.
    Cancelled(bool),
    /// Whether the host accepts new connections.
    Ready(bool),
    /// Invalid or unsupported request.
    Refused(Refused),
}

/// State of one key of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Revision of the key's last change.
    pub revision: u64,
}

/// One page of a read, or the changes that a watch returned.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Items.
    pub items: Vec<Item>,
    /// Whether there are more items after the last one.
    pub more: bool,
    /// Revision of the store at the time of the call.
    pub store_revision: u64,
}

/// Compare-and-swap of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Swap {
    /// Key.
    pub key: Name,
    /// Expected revision; 0 if the key must not exist.
    pub revision: u64,
    /// New value.
    pub value: Bytes,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCallError {
    /// The store is busy and refused the call; nothing was changed.
    Busy,
    /// The revision from which to watch has been compacted.
    Compacted,
    /// Conflict: the key has another revision, its current one if known, else 0.
    Raced(u64),
    /// No valid response was received; a change may have been made or may still be made.
    Lost,
}

/// Keys of the store that operators and workers write.
#[derive(Debug, Clone, Copy)]
pub struct StoreKeys {
    /// Prefix of all keys that operators write.
    pub operator_prefix: &'static str,
    /// Key of the configuration.
    pub config_key: &'static str,
    /// Prefix of the evacuation keys; a zone is evacuated as long as its key exists.
    pub evacuation_prefix: &'static str,
    /// Prefix of the registrations of workers.
    pub worker_prefix: &'static str,
}

/// Pure functions that convert between the platform's messages and the project's types.
pub trait PlatformCodec {
    /// Keys of the store that operators and workers write.
    const KEYS: StoreKeys;

    /// Decodes a call; `table` is `None` until a configuration has been read.
    fn decode_call(
        head: &Parts,
        body: &[u8],
        table: Option<&RouteTable>,
        now: Time,
    ) -> CallerRequest;
    /// Encodes the response to a call.
    fn encode_response(reply: &CallerResponse) -> Response<Bytes>;

    /// Encodes a request to start a run.
    fn encode_start(start: &StartRequest) -> Request<Bytes>;
    /// Decodes the response to a start request.
    fn decode_start(status: StatusCode, body: &[u8]) -> StartResult;
    /// Encodes a request to stop a run.
    fn encode_stop(stop: &StopRequest) -> Request<Bytes>;
    /// Decodes the worker's clock, in milliseconds, from the response to a stop request.
    ///
    /// # Errors
    ///
    /// Why the call failed.
    fn decode_stop(status: StatusCode, body: &[u8]) -> Result<u64, CallError>;
    /// Encodes a lease renewal.
    fn encode_renewal(renewal: &RenewRequest) -> Request<Bytes>;
    /// Decodes the response to a lease renewal.
    ///
    /// # Errors
    ///
    /// Why the call failed.
    fn decode_renewal(status: StatusCode, body: &[u8]) -> Result<RenewReply, CallError>;

    /// Decodes the registration of a worker; `None` if it names no usable worker.
    fn decode_worker(id: &str, value: &[u8]) -> Option<WorkerEntry>;
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// A description of what is invalid.
    fn decode_routes(value: &[u8]) -> Result<RouteTable, String>;

    /// Encodes a read of the keys with a prefix; `after` is the last key of the previous page.
    fn encode_range(prefix: &str, after: Option<&str>) -> Request<Bytes>;
    /// Encodes a watch of the keys with a prefix for changes after a revision; the store
    /// waits up to `wait_ms` for one.
    fn encode_watch(prefix: &str, after: u64, wait_ms: u32) -> Request<Bytes>;
    /// Decodes the response to a read or a watch.
    ///
    /// # Errors
    ///
    /// Why the call failed.
    fn decode_page(status: StatusCode, body: &[u8]) -> Result<Page, StoreCallError>;
    /// Encodes a compare-and-swap.
    fn encode_swap(swap: &Swap) -> Request<Bytes>;
    /// Decodes the key's new revision from the response to a compare-and-swap.
    ///
    /// # Errors
    ///
    /// Why the call failed; after [`StoreCallError::Lost`] the change may still take effect.
    fn decode_swap(status: StatusCode, body: &[u8]) -> Result<u64, StoreCallError>;
}

/// A platform codec as a table of function pointers.
#[derive(Debug, Clone, Copy)]
#[allow(missing_docs, reason = "each field is the function of the same name of `PlatformCodec`")]
pub struct Adapter {
    /// Name in the settings.
    pub name: &'static str,
    pub keys: StoreKeys,
    pub decode_call: fn(&Parts, &[u8], Option<&RouteTable>, Time) -> CallerRequest,
    pub encode_response: fn(&CallerResponse) -> Response<Bytes>,
    pub encode_start: fn(&StartRequest) -> Request<Bytes>,
    pub decode_start: fn(StatusCode, &[u8]) -> StartResult,
    pub encode_stop: fn(&StopRequest) -> Request<Bytes>,
    pub decode_stop: fn(StatusCode, &[u8]) -> Result<u64, CallError>,
    pub encode_renewal: fn(&RenewRequest) -> Request<Bytes>,
    pub decode_renewal: fn(StatusCode, &[u8]) -> Result<RenewReply, CallError>,
    pub decode_worker: fn(&str, &[u8]) -> Option<WorkerEntry>,
    pub decode_routes: fn(&[u8]) -> Result<RouteTable, String>,
    pub encode_range: fn(&str, Option<&str>) -> Request<Bytes>,
    pub encode_watch: fn(&str, u64, u32) -> Request<Bytes>,
    pub decode_page: fn(StatusCode, &[u8]) -> Result<Page, StoreCallError>,
    pub encode_swap: fn(&Swap) -> Request<Bytes>,
    pub decode_swap: fn(StatusCode, &[u8]) -> Result<u64, StoreCallError>,
}

impl Adapter {
    /// Returns the function table of a codec.
    pub const fn from_codec<T: PlatformCodec>(name: &'static str) -> Self {
        Self {
            name,
            keys: T::KEYS,
            decode_call: T::decode_call,
            encode_response: T::encode_response,
            encode_start: T::encode_start,
            decode_start: T::decode_start,
            encode_stop: T::encode_stop,
            decode_stop: T::decode_stop,
            encode_renewal: T::encode_renewal,
            decode_renewal: T::decode_renewal,
            decode_worker: T::decode_worker,
            decode_routes: T::decode_routes,
            encode_range: T::encode_range,
            encode_watch: T::encode_watch,
            decode_page: T::decode_page,
            encode_swap: T::encode_swap,
            decode_swap: T::decode_swap,
        }
    }

    /// Returns the registered adapter with this name.
    pub fn by_name(name: &str) -> Option<&'static Self> {
        inventory::iter::<Self>.into_iter().find(|adapter| adapter.name == name)
    }
}

inventory::collect!(Adapter);
