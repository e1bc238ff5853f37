//! Puts the daemon together and runs its loop.

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

use crate::args::Args;
use crate::backend::Backends;
use crate::clock::{Clock, since_epoch};
use crate::config_checker::{ConfigChecker, CurrentConfig};
use crate::counters::Counters;
use crate::effects::EffectHandlers;
use crate::engine::{Engine, EngineParts};
use crate::error::{Exit, RunError};
use crate::fleet;
use crate::http::{self, Desk, Say};
use crate::inbox::{Inbox, InboxReceiver};
use crate::logs;
use crate::net::NetRuntime;
use crate::peers::{self, Links};
use crate::store::{self, Store};
use crate::{signals, statsd};

/// Inputs handled before their effects are carried out.
const BATCH: usize = 1_024;
/// Longest wait for an input, in seconds.
const WAIT_S: u64 = 60;

/// Runs the daemon with the arguments of a command line.
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
/// Settings that are refused, or a socket or thread that cannot be had.
pub fn run(args: &Args) -> Result<Exit, RunError> {
    let settings = load(args)?;
    if args.check {
        println!("settings are in order");
        return Ok(Exit::Drained);
    }
    let counters = Counters::default();
    let log = logs::open(&settings.log, counters.clone())?;
    let Some(name) = &settings.platform.adapter else {
        return serve(&settings, counters);
    };
    let adapter = Adapter::named(name).ok_or_else(|| RunError::Adapter { name: name.clone() })?;
    let reloader = SettingsReloader { args: args.clone(), log };
    fleet::serve(&settings, adapter, &counters, reloader)
}

/// Reads the settings again while the host runs.
pub(crate) struct SettingsReloader {
    args: Args,
    log: LoggerHandle,
}

impl SettingsReloader {
    /// Returns the file that the settings are read from, if they are.
    pub(crate) fn path(&self) -> Option<&Path> {
        self.args.config.as_deref()
    }

    /// Reads the settings and puts the log's level in force.
    pub(crate) fn reload(&self) -> Result<Settings, RunError> {
        let settings = load(&self.args)?;
        logs::set_level(&self.log, &settings.log)?;
        Ok(settings)
    }
}

fn load(args: &Args) -> Result<Settings, RunError> {
    let Some(path) = &args.config else {
        return Ok(Settings::load("", "command line", &args.overrides)?);
    };
    let read = |source| RunError::Read { path: path.clone(), source };
    let text = fs::read_to_string(path).map_err(read)?;
    Ok(Settings::load(&text, &path.display().to_string(), &args.overrides)?)
}

/// Starts all handlers, then the loop.
fn serve(settings: &Settings, counters: Counters) -> Result<Exit, RunError> {
    let clock = Clock::new();
    let adopted = CurrentConfig::default();
    let (inbox, inlet) = Inbox::new();
    let net = NetRuntime::start()?;
    let callers = http::bind(net.handle(), settings.host.http)?;
    let peers = peers::bind(settings.host.peers)?;
    let address = advertised_address(settings, &peers)?;
    let me = Peer::new(settings.host.name.clone(), since_epoch().as_micros() as u64);
    let checker = ConfigChecker::start(inbox.clone(), adopted.clone())?;
    let replies = Say::pool();
    let desk = Desk {
        inbox: inbox.clone(),
        clock,
        settings: settings.calls.clone(),
        adopted: adopted.clone(),
        voice: replies.clone(),
        counters: counters.clone(),
    };
    log::info!(
        "event=listening host={} birth={:x} zone={} http={} peers={address}",
        me.host,
        me.birth,
        settings.host.zone,
        local_address(&callers)?,
    );
    peers::serve(net.handle(), peers, inbox.clone())?;
    let desk_store = store::Desk {
        me: me.clone(),
        zone: settings.host.zone.clone(),
        address: address.clone(),
        settings: settings.store.clone(),
        inbox: inbox.clone(),
        checker: checker.clone(),
        counters: counters.clone(),
    };
    let store = Store::start(net.handle(), desk_store)?;
    let links = Links::start(net.handle(), inbox.clone(), counters.clone());
    let backends = Backends::start(&settings.backends, clock, &me, inbox.clone(), counters.clone());
    statsd::start(&settings.metrics, &settings.host, counters.clone(), inbox.clone())?;
    signals::watch(inbox.clone())?;
    http::serve(callers, &desk)?;
    let handlers =
        EffectHandlers { backends, links, store: store.clone(), checker, replies, counters };
    let wall_s = since_epoch().as_secs();
    let seed = me.birth;
    let seeds = settings.host.seeds.iter();
    let seed_hosts = seeds.map(|(host, at)| seed_of(host, *at)).collect();
    let setup = Setup { me, zone: settings.host.zone.clone(), address, wall_s, seed, seed_hosts };
    let exit = Rc::new(Cell::new(Exit::Failed));
    let stop_limit_s = settings.stop.limit_s;
    let parts =
        EngineParts { setup, handlers, clock, adopted, stop_limit_s, exit: Rc::clone(&exit) };
    turn(&inlet, parts);
    store.leave();
    Ok(exit.get())
}

/// Returns the address that peers dial; port 0 stands for the one that was bound.
pub(crate) fn advertised_address(
    settings: &Settings,
    bound: &TcpListener,
) -> Result<Name, RunError> {
    let mut address = settings.host.advertised();
    if address.port() == 0 {
        address.set_port(local_address(bound)?.port());
    }
    Ok(Name::from(address.to_string()))
}

/// Returns the address to which a socket is bound.
pub(crate) fn local_address(socket: &TcpListener) -> Result<SocketAddr, RunError> {
    socket.local_addr().map_err(|e| RunError::Bind {
        step: "read-address",
        address: String::new(),
        reason: e.to_string(),
    })
}

/// Returns a host of the settings as one to ask for the configuration.
fn seed_of(host: &Name, address: SocketAddr) -> SeedHost {
    SeedHost { host: host.clone(), address: Name::from(address.to_string()) }
}

/// Runs the loop until the engine ends it.
fn turn(inlet: &InboxReceiver, parts: EngineParts) {
    let mut stakker = Stakker::new(Instant::now());
    let engine = actor!(&mut stakker, Engine::init(parts), ret_nop!());
    call!([engine], finish_batch());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), Duration::from_secs(WAIT_S), false);
        drain(inlet, &engine, wait);
        stakker.run(Instant::now(), false);
    }
}

/// Queues all waiting inputs for the engine, so that their frames share batches.
fn drain(inlet: &InboxReceiver, engine: &Actor<Engine>, wait: Duration) {
    let Some(first) = inlet.recv_timeout(wait) else { return };
    call!([engine], handle_input(first));
    for _ in 1..BATCH {
        let Some(input) = inlet.try_recv() else { break };
        call!([engine], handle_input(input));
    }
    call!([engine], finish_batch());
}
