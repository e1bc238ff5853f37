//! What an adapter to a users' platform translates.
//!
//! The daemon carries HTTP messages and knows neither their paths nor their
//! bodies; the kernel decides on typed values. An adapter is the table of pure
//! functions between both. It registers itself by name, and the settings
//! choose it.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::Time;
use endivestile_kernel::fleet::{
    CallError, Job, JobEnd, RenewReply, RenewRequest, RouteTable, StartRequest, StartResult,
    StopRequest, WorkerEntry,
};
use http::request::Parts;
use http::{Request, Response, StatusCode};

/// What a caller wants.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerRequest {
    /// Run a job and answer with its end.
    Submit(Box<Job>),
    /// How many accepted jobs of a route wait.
    Pending(Name),
    /// How the job of an id stands.
    State(Name),
    /// Stop the job of an id.
    Cancel(Name),
    /// Whether new connections are welcome.
    Ready,
    /// The call cannot be served.
    Refuse(Refused),
}

/// A call that is refused without any decision of the kernel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Status.
    pub status: StatusCode,
    /// What is wrong, with the field's name where one is.
    pub reason: String,
}

impl Refused {
    /// Refuses with a status and a reason.
    pub fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into() }
    }
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerResponse {
    /// How its job ended; the instant is now.
    Ended(JobEnd, Time),
    /// How many accepted jobs of the route wait.
    Pending(u32),
    /// Whether the id's job is at work here.
    Running(bool),
    /// Whether there was a job to stop.
    Cancelled(bool),
    /// Whether new connections are welcome.
    Ready(bool),
    /// The call cannot be served.
    Refused(Refused),
}

/// One key of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; none once the key was deleted.
    pub value: Option<Bytes>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A page of a reading, or the changes that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Items.
    pub items: Vec<Item>,
    /// Whether there are further ones behind the last.
    pub more: bool,
    /// Revision of the store.
    pub store_revision: u64,
}

/// A change of one key under the condition of its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Swap {
    /// Key.
    pub key: Name,
    /// Revision that it must have; 0 for an absent key.
    pub revision: u64,
    /// New value.
    pub value: Bytes,
}

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCallError {
    /// The store did nothing: it turned the call away.
    Busy,
    /// The history that a watch asked for is gone.
    Compacted,
    /// The condition did not hold; the key's present revision.
    Raced(u64),
    /// The answer cannot be read, or there was none: a change may take effect later.
    Lost,
}

/// Keys of the store that others write.
#[derive(Debug, Clone, Copy)]
pub struct StoreKeys {
    /// Prefix of everything that operators write.
    pub operator_prefix: &'static str,
    /// The configuration.
    pub config_key: &'static str,
    /// Prefix of the keys that each name a zone to be evacuated for as long as they stand.
    pub evacuation_prefix: &'static str,
    /// Prefix of the workers' registrations.
    pub worker_prefix: &'static str,
}

/// Pure functions between the platform's messages and the project's types.
pub trait PlatformCodec {
    /// Keys of the store that others write.
    const KEYS: StoreKeys;

    /// Reads a caller's call.
    fn decode_call(
        head: &Parts,
        body: &[u8],
        table: Option<&RouteTable>,
        now: Time,
    ) -> CallerRequest;
    /// Writes the answer to a caller.
    fn encode_response(say: &CallerResponse) -> Response<Bytes>;

    /// Writes an order to start.
    fn encode_start(order: &StartRequest) -> Request<Bytes>;
    /// Reads its answer.
    fn decode_start(status: StatusCode, body: &[u8]) -> StartResult;
    /// Writes an order to stop.
    fn encode_stop(order: &StopRequest) -> Request<Bytes>;
    /// Reads its answer.
    fn decode_stop(status: StatusCode, body: &[u8]) -> Result<u64, CallError>;
    /// Writes a hold.
    fn encode_renewal(order: &RenewRequest) -> Request<Bytes>;
    /// Reads its answer.
    fn decode_renewal(status: StatusCode, body: &[u8]) -> Result<RenewReply, CallError>;

    /// Reads a worker's registration; none when it names nothing to use.
    fn decode_worker(id: &str, value: &[u8]) -> Option<WorkerEntry>;
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// What cannot be read, in words.
    fn decode_routes(value: &[u8]) -> Result<RouteTable, String>;

    /// Asks for the keys with a prefix, behind a key where one is given.
    fn encode_range(prefix: &str, after: Option<&str>) -> Request<Bytes>;
    /// Asks for changes of keys with a prefix after a revision, for so many milliseconds.
    fn encode_watch(prefix: &str, after: u64, wait: u32) -> Request<Bytes>;
    /// Reads the answer to either.
    ///
    /// # Errors
    ///
    /// Why there is none.
    fn decode_page(status: StatusCode, body: &[u8]) -> Result<Page, StoreCallError>;
    /// Asks for a change under a condition.
    fn encode_swap(swap: &Swap) -> Request<Bytes>;
    /// Reads the new revision.
    ///
    /// # Errors
    ///
    /// Why it took no effect, as far as that is known.
    fn decode_swap(status: StatusCode, body: &[u8]) -> Result<u64, StoreCallError>;
}

/// The functions of an adapter, without dynamic dispatch.
#[derive(Debug, Clone, Copy)]
#[allow(missing_docs, reason = "each is the function of that name of `PlatformCodec`")]
pub struct Adapter {
    /// Name by which settings choose it.
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
    /// Makes the table of a translation.
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

    /// Returns the adapter of a name.
    pub fn by_name(name: &str) -> Option<&'static Self> {
        inventory::iter::<Self>.into_iter().find(|adapter| adapter.name == name)
    }
}

inventory::collect!(Adapter);
