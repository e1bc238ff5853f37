//! Assembles the daemon and runs its event loop.

use std::cell::Cell;
use std::ffi::OsString;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Parser;
use endivestile_config::Settings;
use endivestile_config::model::Name;
use endivestile_kernel::{Peer, SeedHost, Setup};
use endivestile_wire::adapter::Adapter;
use flexi_logger::LoggerHandle;
use stakker::{Actor, Stakker, actor, call, ret_nop};
use tokio::sync::watch;

use crate::args::Args;
use crate::backend::Backends;
use crate::clock::{Clock, new_birth, since_epoch};
use crate::config_checker::{ConfigChecker, CurrentConfig};
use crate::counters::Counters;
use crate::effects::EffectHandlers;
use crate::engine::{Engine, EngineParts};
use crate::error::{Exit, RunError};
use crate::fleet;
use crate::http::{CallHandler, RequestHandler};
use crate::http_server::{self, Gate, Server};
use crate::inbox::{Inbox, InboxReceiver};
use crate::logs;
use crate::machine;
use crate::net::NetRuntime;
use crate::peers::{self, Links};
use crate::store::{self, Store};
use crate::{signals, statsd};

/// Largest number of inputs handled before their effects are carried out.
const MAX_BATCH: usize = 1_024;
/// Longest wait for an input, in seconds.
const MAX_WAIT_S: u64 = 60;

/// Runs the daemon with command-line arguments and returns its exit code.
pub fn run_from(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(e) => {
            let _ = e.print();
            let code = if e.use_stderr() { Exit::Refused } else { Exit::Drained };
            return ExitCode::from(code as u8);
        }
    };
    let exit = run(&args).unwrap_or_else(|e| {
        eprintln!("endivestile: {e}");
        e.exit()
    });
    ExitCode::from(exit as u8)
}

/// Runs the daemon until it is stopped.
///
/// # Errors
///
/// Fails if the settings are invalid, or if a socket, thread or the log cannot be opened.
pub fn run(args: &Args) -> Result<Exit, RunError> {
    let settings = load_settings(args)?;
    if args.check {
        println!("settings are valid");
        return Ok(Exit::Drained);
    }
    let counters = Counters::default();
    let log = logs::open(&settings.log, counters.clone())?;
    let Some(name) = &settings.platform.adapter else {
        return serve(&settings, counters);
    };
    let adapter = Adapter::by_name(name).ok_or_else(|| RunError::Adapter { name: name.clone() })?;
    let reloader = SettingsReloader { args: args.clone(), log };
    fleet::serve(&settings, adapter, &counters, reloader)
}

/// Reloads the settings of a running host.
pub(crate) struct SettingsReloader {
    args: Args,
    log: LoggerHandle,
}

impl SettingsReloader {
    /// Returns the path of the settings file, if there is one.
    pub(crate) fn path(&self) -> Option<&Path> {
        self.args.config.as_deref()
    }

    /// Reloads the settings and applies the log level.
    pub(crate) fn reload(&self) -> Result<Settings, RunError> {
        let settings = load_settings(&self.args)?;
        logs::set_level(&self.log, &settings.log)?;
        Ok(settings)
    }
}

fn load_settings(args: &Args) -> Result<Settings, RunError> {
    let Some(path) = &args.config else {
        return Ok(Settings::load("", "command line", &args.overrides)?);
    };
    let read = |source| RunError::Read { path: path.clone(), source };
    let text = fs::read_to_string(path).map_err(read)?;
    Ok(Settings::load(&text, &path.display().to_string(), &args.overrides)?)
}

/// Starts the I/O modules and runs the event loop.
fn serve(settings: &Settings, counters: Counters) -> Result<Exit, RunError> {
    let clock = Clock::new();
    let current_config = CurrentConfig::default();
    let (inbox, inbox_receiver) = Inbox::new();
    let net = NetRuntime::start()?;
    let machine = machine::detect(&settings.host);
    let gate = |listener, limits| Gate::new(listener, limits, clock, counters.clone());
    let callers = gate("callers", machine.caller_limits());
    let (http_listener, http_address) = {
        let _guard = net.handle().enter();
        http_server::bind(settings.host.http_address)?
    };
    let peer_listener = peers::bind(settings.host.peer_address)?;
    let address = advertised_address(settings, &peer_listener)?;
    let me = Peer::new(settings.host.name.clone(), new_birth());
    let checker = ConfigChecker::start(inbox.clone(), current_config.clone())?;
    let requests = RequestHandler {
        inbox: inbox.clone(),
        clock,
        settings: settings.calls.clone(),
        current_config: current_config.clone(),
        counters: counters.clone(),
    };
    log::info!(
        "event=listening host={} birth={:x} zone={} http={http_address} peers={address}",
        me.host,
        me.birth,
        settings.host.zone,
    );
    let links_gate = gate("links", machine.link_limits());
    peers::serve(net.handle(), peer_listener, inbox.clone(), links_gate)?;
    let store_context = store::Context {
        me: me.clone(),
        zone: settings.host.zone.clone(),
        address: address.clone(),
        settings: settings.store.clone(),
        inbox: inbox.clone(),
        checker: checker.clone(),
        counters: counters.clone(),
    };
    let store = Store::start(net.handle(), store_context)?;
    let links = Links::start(net.handle(), inbox.clone(), counters.clone());
    let backends = Backends::start(&settings.backends, clock, &me, inbox.clone(), counters.clone());
    statsd::start(&settings.metrics, &settings.host, counters.clone(), inbox.clone())?;
    signals::watch(inbox.clone())?;
    let (closing, closed) = watch::channel(false);
    let handler = CallHandler::new(requests);
    let server = Server { handler, gate: callers.clone(), closing: closed, half_close: true };
    net.handle().spawn(server.accept(http_listener));
    let handlers =
        EffectHandlers { backends, links, store: store.clone(), checker, callers, counters };
    let wall_s = since_epoch().as_secs();
    let seed = me.birth;
    let seeds = settings.host.seeds.iter();
    let seed_hosts = seeds.map(|(host, seed_address)| seed_host(host, *seed_address)).collect();
    let setup = Setup { me, zone: settings.host.zone.clone(), address, wall_s, seed, seed_hosts };
    let exit = Rc::new(Cell::new(Exit::Failed));
    let stop_limit_s = settings.stop.shutdown_limit_s;
    let parts = EngineParts {
        setup,
        handlers,
        clock,
        current_config,
        stop_limit_s,
        exit: Rc::clone(&exit),
    };
    run_loop(&inbox_receiver, parts);
    closing.send_replace(true);
    store.deregister();
    Ok(exit.get())
}

/// Returns the address advertised to peers; port 0 is replaced by the bound port.
pub(crate) fn advertised_address(
    settings: &Settings,
    bound: &TcpListener,
) -> Result<Name, RunError> {
    let mut address = settings.host.advertised_address();
    if address.port() == 0 {
        address.set_port(local_address(bound)?.port());
    }
    Ok(Name::from(address.to_string()))
}

/// Returns the address that a socket is bound to.
pub(crate) fn local_address(socket: &TcpListener) -> Result<SocketAddr, RunError> {
    socket.local_addr().map_err(|e| RunError::Bind {
        step: "read-address",
        address: String::new(),
        reason: e.to_string(),
    })
}

/// Returns a host of the settings as a seed, which is asked for the configuration.
fn seed_host(host: &Name, address: SocketAddr) -> SeedHost {
    SeedHost { host: host.clone(), address: Name::from(address.to_string()) }
}

/// Runs the event loop until the engine ends it.
fn run_loop(inbox_receiver: &InboxReceiver, parts: EngineParts) {
    let mut stakker = Stakker::new(Instant::now());
    let engine = actor!(&mut stakker, Engine::init(parts), ret_nop!());
    call!([engine], finish_batch());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), Duration::from_secs(MAX_WAIT_S), false);
        handle_batch(inbox_receiver, &engine, wait);
        stakker.run(Instant::now(), false);
    }
}

/// Passes all queued inputs to the engine at once, so that their frames share batches.
fn handle_batch(inbox_receiver: &InboxReceiver, engine: &Actor<Engine>, wait: Duration) {
    let Some(first) = inbox_receiver.recv_timeout(wait) else { return };
    call!([engine], handle_input(first));
    for _ in 1..MAX_BATCH {
        let Some(input) = inbox_receiver.try_recv() else { break };
        call!([engine], handle_input(input));
    }
    call!([engine], finish_batch());
}
