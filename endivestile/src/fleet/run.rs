//! Assembles the host and runs its event loop.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use endivestile_config::Settings;
use endivestile_config::model::Name;
use endivestile_kernel::Peer;
use endivestile_kernel::fleet::{FleetSetup, HostEntry, Limits, operator_watch_ms};
use endivestile_wire::adapter::Adapter;
use stakker::{Actor, Stakker, actor, call, ret_nop};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::callers::{CallHandler, PageHandler};
use super::engine::{Engine, EngineParts};
use super::http_client::HttpClient;
use super::inbox::{Inbox, InboxReceiver, Input};
use super::metrics::Metrics;
use super::operator_keys::OperatorKeys;
use super::prefix_watch;
use super::read_pace::ReadPace;
use super::records::{self, Records, Registration};
use super::store_calls::{StoreCalls, StorePurpose};
use super::store_client::StoreClient;
use super::worker_client::WorkerClient;
use super::worker_list::{SharedPoolRole, WorkerList};
use crate::clock::{Clock, new_birth};
use crate::counters::Counters;
use crate::error::{Exit, RunError};
use crate::http_server::{self, Gate, Server};
use crate::machine;
use crate::peers::{self, Links};
use crate::run::{SettingsReloader, advertised_address, local_address};

/// Largest number of inputs handled before their effects are carried out and other hosts are
/// evaluated as unresponsive: a late host must not treat frames that it has not read yet as
/// frames that were not sent.
const MAX_BATCH: usize = 2_048;
/// Longest wait for an input, in seconds.
const MAX_WAIT_S: u64 = 60;
/// Prefix of the entry hosts' own keys in the store.
const OWN_KEY_PREFIX: &str = "endivestile/";
/// Interval at which the settings file is checked, in milliseconds: half of the
/// two seconds within which a change has to apply.
const SETTINGS_POLL_MS: u64 = 1_000;
/// Upper bound of the timeout of a store call, whatever the settings say, in
/// milliseconds: an unresponsive connection must not delay changes.
const MAX_STORE_TIMEOUT_MS: u64 = 700;

/// Runs the host until it is stopped.
pub(crate) fn serve(
    settings: &Settings,
    adapter: &'static Adapter,
    counters: &Counters,
    reloader: SettingsReloader,
) -> Result<Exit, RunError> {
    let failed = |source| RunError::Thread { step: "start-runtime", source };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let (inbox, receiver) = Inbox::new();
    let exit = Rc::new(Cell::new(Exit::Failed));
    let build_context = BuildContext { settings, adapter, counters, inbox: &inbox };
    let parts = build(&runtime, &build_context, Rc::clone(&exit), reloader)?;
    runtime.block_on(run_loop(receiver, parts));
    Ok(exit.get())
}

/// What the I/O modules are built from.
struct BuildContext<'a> {
    settings: &'a Settings,
    adapter: &'static Adapter,
    counters: &'a Counters,
    inbox: &'a Inbox,
}

/// Opens the sockets and starts the I/O modules.
fn build(
    runtime: &Runtime,
    build_context: &BuildContext<'_>,
    exit: Rc<Cell<Exit>>,
    reloader: SettingsReloader,
) -> Result<EngineParts, RunError> {
    let &BuildContext { settings, adapter, counters, inbox } = build_context;
    let _context = runtime.enter();
    let clock = Clock::new();
    let calls = StoreCalls::default();
    let machine = machine::detect(&settings.host);
    let gate = |listener, limits| Gate::new(listener, limits, clock, counters.clone());
    let callers = gate("callers", machine.caller_limits());
    let ready = gate("ready", machine.probe_limits());
    let page = gate("page", machine.probe_limits());
    let peer_links = gate("links", machine.link_limits());
    let gates = [&callers, &ready, &page, &peer_links].map(Gate::clone);
    let metrics = Metrics::new(counters.clone(), calls.clone(), gates.to_vec());
    let (closing, closed) = watch::channel(false);
    if let Some(address) = settings.metrics.page_address {
        let (listener, bound) = http_server::bind(address)?;
        log::info!("event=page_served address={bound}");
        let handler = PageHandler { metrics: metrics.clone() };
        let server = Server { handler, gate: page, closing: closed.clone(), half_close: false };
        runtime.spawn(server.accept(listener));
    }
    let limits = Arc::new(RwLock::new(Limits::default()));
    let handler = CallHandler {
        inbox: inbox.clone(),
        limits: Arc::clone(&limits),
        next_call: Arc::new(AtomicU64::new(0)),
    };
    let server = Server { handler, gate: callers, closing: closed, half_close: false };
    let (listener, http) = http_server::bind(settings.host.http_address)?;
    runtime.spawn(server.clone().accept(listener));
    if let Some(address) = settings.platform.ready_address {
        let (listener, _) = http_server::bind(address)?;
        runtime.spawn(Server { gate: ready, ..server }.accept(listener));
    }
    let listener = peers::bind(settings.host.peer_address)?;
    let (address, local) = (advertised_address(settings, &listener)?, local_address(&listener)?);
    peers::serve(runtime.handle(), listener, inbox.clone(), peer_links)?;
    let links = Links::start(runtime.handle(), inbox.clone(), counters.clone());
    let me = Peer::new(settings.host.name.clone(), new_birth());
    let zone = settings.host.zone.clone();
    log::info!(
        "event=started host={} birth={:x} zone={zone} http={http} peers={address} links={local}",
        me.host,
        me.birth
    );
    let client = HttpClient::default();
    let store = store_client(settings, adapter, client.clone(), calls);
    let (pool_role, read_now) = (SharedPoolRole::default(), Arc::new(Notify::new()));
    let entry = HostEntry {
        peer: me.clone(),
        zone: zone.clone(),
        address: address.clone(),
        leaving: false,
        cpu_milli: settings.platform.cpu_milli,
        link_kbps: settings.platform.link_kbps,
    };
    let watch_ms = operator_watch_ms(settings.platform.config_ms);
    let registration = start_store_tasks(
        runtime,
        &store,
        inbox,
        pool_role.clone(),
        Arc::clone(&read_now),
        watch_ms,
        entry,
    );
    watch_signals(runtime, inbox)?;
    if let Some(path) = reloader.path() {
        runtime.spawn(watch_settings(path.to_owned(), inbox.clone()));
    }
    let workers = WorkerClient { client, adapter, inbox: inbox.clone(), clock };
    let setup = FleetSetup {
        me,
        zone,
        cpu_milli: settings.platform.cpu_milli,
        link_kbps: settings.platform.link_kbps,
        remote_factor_milli: settings.platform.remote_factor_milli,
        address,
        worker_lease_ms: settings.platform.worker_lease_ms(),
        host_lease_ms: settings.platform.host_lease_ms(),
        policy: settings.platform.policy,
    };
    Ok(EngineParts {
        setup,
        adapter,
        clock,
        inbox: inbox.clone(),
        links,
        workers,
        store,
        registration,
        pool_role,
        read_now,
        limits,
        closing,
        metrics,
        reloader,
        grace_ms: settings.platform.grace_ms,
        exit,
        wake_at: Rc::default(),
    })
}

fn store_client(
    settings: &Settings,
    adapter: &'static Adapter,
    client: HttpClient,
    calls: StoreCalls,
) -> StoreClient {
    // An empty list of addresses is refused when the settings are checked.
    let address = settings.store.addresses.first();
    let address = address.map(ToString::to_string).unwrap_or_default();
    let timeout_ms = settings.store.timeout_ms.min(MAX_STORE_TIMEOUT_MS);
    let pace = ReadPace::new(settings.store.reads_per_s);
    StoreClient { client, adapter, address: Name::from(address), timeout_ms, calls, pace }
}

/// Starts the watches of the store and this host's registration.
fn start_store_tasks(
    runtime: &Runtime,
    store: &StoreClient,
    inbox: &Inbox,
    pool_role: SharedPoolRole,
    read_now: Arc<Notify>,
    watch_ms: u32,
    entry: HostEntry,
) -> watch::Sender<Registration> {
    let registration = watch::Sender::new(Registration { entry, stored: None });
    let operator =
        OperatorKeys { adapter: store.adapter, inbox: inbox.clone(), watch_ms, read_now };
    runtime.spawn(prefix_watch::run(
        StorePurpose::OperatorKeys,
        store.adapter.keys.operator_prefix.to_owned(),
        store.clone(),
        operator,
    ));
    let records = Records {
        inbox: inbox.clone(),
        registration: registration.clone(),
        hosts: BTreeSet::new(),
        pace: store.pace.clone(),
        role: pool_role.clone(),
    };
    runtime.spawn(prefix_watch::run(
        StorePurpose::OwnKeys,
        OWN_KEY_PREFIX.to_owned(),
        store.clone(),
        records,
    ));
    let worker_list = WorkerList::new(store.adapter, inbox.clone(), pool_role);
    runtime.spawn(prefix_watch::run(
        StorePurpose::Workers,
        store.adapter.keys.worker_prefix.to_owned(),
        store.clone(),
        worker_list,
    ));
    runtime.spawn(records::register(store.clone(), registration.clone()));
    registration
}

/// Posts the stop and reload signals to the engine.
fn watch_signals(runtime: &Runtime, inbox: &Inbox) -> Result<(), RunError> {
    let failed = |source| RunError::Thread { step: "watch-signals", source };
    let mut term = signal(SignalKind::terminate()).map_err(failed)?;
    let mut int = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hup = signal(SignalKind::hangup()).map_err(failed)?;
    let inbox = inbox.clone();
    runtime.spawn(async move {
        loop {
            let input = tokio::select! {
                _ = term.recv() => Input::Stop,
                _ = int.recv() => Input::Stop,
                _ = hup.recv() => Input::Reload,
            };
            inbox.post(input);
        }
    });
    Ok(())
}

/// Requests a reload when the settings file has changed: not every platform sends a
/// signal for that. A file that cannot be read is checked again later.
async fn watch_settings(path: PathBuf, inbox: Inbox) {
    let mut last_text = fs::read(&path).ok();
    loop {
        tokio::time::sleep(Duration::from_millis(SETTINGS_POLL_MS)).await;
        let Ok(text) = fs::read(&path) else { continue };
        if last_text.as_ref() != Some(&text) {
            last_text = Some(text);
            inbox.post(Input::Reload);
        }
    }
}

/// Runs the event loop until the engine ends it.
async fn run_loop(mut receiver: InboxReceiver, parts: EngineParts) {
    let mut stakker = Stakker::new(Instant::now());
    let (metrics, wake_at) = (parts.metrics.clone(), Rc::clone(&parts.wake_at));
    let engine = actor!(&mut stakker, Engine::init(parts), ret_nop!());
    call!([engine], finish_batch());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let now = Instant::now();
        let wait = stakker.next_wait_max(now, Duration::from_secs(MAX_WAIT_S), false);
        let wait = wake_at.get().map_or(wait, |at| wait.min(at.saturating_duration_since(now)));
        handle_batch(&mut receiver, &engine, wait, wake_at.get()).await;
        let started = Instant::now();
        stakker.run(started, false);
        metrics.record_batch(started.elapsed().as_micros() as u64);
    }
    // The last responses still have to be written to their sockets.
    tokio::time::sleep(Duration::from_millis(LAST_RESPONSES_MS)).await;
}

/// Time for the last responses to be written to their sockets, in milliseconds.
const LAST_RESPONSES_MS: u64 = 20;

/// Passes all queued inputs to the engine at once, so that their frames share batches. Finishes
/// an empty batch if none has arrived at `wake_at`.
async fn handle_batch(
    receiver: &mut InboxReceiver,
    engine: &Actor<Engine>,
    wait: Duration,
    wake_at: Option<Instant>,
) {
    let Ok(Some(first)) = timeout(wait, receiver.recv()).await else {
        if wake_at.is_some_and(|at| at <= Instant::now()) {
            call!([engine], finish_batch());
        }
        return;
    };
    call!([engine], handle_input(first));
    for _ in 1..MAX_BATCH {
        let Ok(input) = receiver.try_recv() else { break };
        call!([engine], handle_input(input));
    }
    call!([engine], finish_batch());
}
