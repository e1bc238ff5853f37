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
pub enum Demand {
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
pub enum Say {
    /// How its job ended; the instant is now.
    Ended(JobEnd, Time),
    /// How many accepted jobs of the route wait.
    Pending(u32),
    /// Whether the id's job is at work here.
    State(bool),
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
    pub at: u64,
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
pub enum StoreFault {
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
pub struct Keys {
    /// Prefix of everything that operators write.
    pub operator: &'static str,
    /// The configuration.
    pub config: &'static str,
    /// Prefix of the keys that each name a zone to be evacuated for as long as they stand.
    pub evacuations: &'static str,
    /// Prefix of the workers' registrations.
    pub workers: &'static str,
}

/// Pure functions between the platform's messages and the project's types.
pub trait Translate {
    /// Keys of the store that others write.
    const KEYS: Keys;

    /// Reads a caller's call.
    fn demand(head: &Parts, body: &[u8], table: Option<&RouteTable>, now: Time) -> Demand;
    /// Writes the answer to a caller.
    fn say(say: &Say) -> Response<Bytes>;

    /// Writes an order to start.
    fn start(order: &StartRequest) -> Request<Bytes>;
    /// Reads its answer.
    fn started(status: StatusCode, body: &[u8]) -> StartResult;
    /// Writes an order to stop.
    fn stop(order: &StopRequest) -> Request<Bytes>;
    /// Reads its answer.
    fn stopped(status: StatusCode, body: &[u8]) -> Result<u64, CallError>;
    /// Writes a hold.
    fn hold(order: &RenewRequest) -> Request<Bytes>;
    /// Reads its answer.
    fn held(status: StatusCode, body: &[u8]) -> Result<RenewReply, CallError>;

    /// Reads a worker's registration; none when it names nothing to use.
    fn worker(id: &str, value: &[u8]) -> Option<WorkerEntry>;
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// What cannot be read, in words.
    fn table(value: &[u8]) -> Result<RouteTable, String>;

    /// Asks for the keys with a prefix, behind a key where one is given.
    fn range(prefix: &str, after: Option<&str>) -> Request<Bytes>;
    /// Asks for changes of keys with a prefix after a revision, for so many milliseconds.
    fn watch(prefix: &str, after: u64, wait: u32) -> Request<Bytes>;
    /// Reads the answer to either.
    ///
    /// # Errors
    ///
    /// Why there is none.
    fn page(status: StatusCode, body: &[u8]) -> Result<Page, StoreFault>;
    /// Asks for a change under a condition.
    fn swap(swap: &Swap) -> Request<Bytes>;
    /// Reads the new revision.
    ///
    /// # Errors
    ///
    /// Why it took no effect, as far as that is known.
    fn swapped(status: StatusCode, body: &[u8]) -> Result<u64, StoreFault>;
}

/// The functions of an adapter, without dynamic dispatch.
#[derive(Debug, Clone, Copy)]
#[allow(missing_docs, reason = "each is the function of that name of `Translate`")]
pub struct Adapter {
    /// Name by which settings choose it.
    pub name: &'static str,
    pub keys: Keys,
    pub demand: fn(&Parts, &[u8], Option<&RouteTable>, Time) -> Demand,
    pub say: fn(&Say) -> Response<Bytes>,
    pub start: fn(&StartRequest) -> Request<Bytes>,
    pub started: fn(StatusCode, &[u8]) -> StartResult,
    pub stop: fn(&StopRequest) -> Request<Bytes>,
    pub stopped: fn(StatusCode, &[u8]) -> Result<u64, CallError>,
    pub hold: fn(&RenewRequest) -> Request<Bytes>,
    pub held: fn(StatusCode, &[u8]) -> Result<RenewReply, CallError>,
    pub worker: fn(&str, &[u8]) -> Option<WorkerEntry>,
    pub table: fn(&[u8]) -> Result<RouteTable, String>,
    pub range: fn(&str, Option<&str>) -> Request<Bytes>,
    pub watch: fn(&str, u64, u32) -> Request<Bytes>,
    pub page: fn(StatusCode, &[u8]) -> Result<Page, StoreFault>,
    pub swap: fn(&Swap) -> Request<Bytes>,
    pub swapped: fn(StatusCode, &[u8]) -> Result<u64, StoreFault>,
}

impl Adapter {
    /// Makes the table of a translation.
    pub const fn of<T: Translate>(name: &'static str) -> Self {
        Self {
            name,
            keys: T::KEYS,
            demand: T::demand,
            say: T::say,
            start: T::start,
            started: T::started,
            stop: T::stop,
            stopped: T::stopped,
            hold: T::hold,
            held: T::held,
            worker: T::worker,
            table: T::table,
            range: T::range,
            watch: T::watch,
            page: T::page,
            swap: T::swap,
            swapped: T::swapped,
        }
    }

    /// Returns the adapter of a name.
    pub fn named(name: &str) -> Option<&'static Self> {
        inventory::iter::<Self>.into_iter().find(|adapter| adapter.name == name)
    }
}

inventory::collect!(Adapter);
