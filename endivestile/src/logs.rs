//! The log: one line of `key=value` pairs for each event, on standard output.
//!
//! A log that stands still, such as a full pipe, would stop the engine in the
//! middle of a line, and every call with it. Lines therefore go to a thread of
//! their own through a bounded queue, and no thread waits for it; lines beyond
//! it are dropped, counted, and the count is logged.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use endivestile_config::LogSettings;
use endivestile_kernel::{Level, Note};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

use crate::counters::{Counters, IoMetric};
use crate::error::RunError;

/// Target of the daemon's own lines.
const TARGET: &str = "endivestile";
/// Lines that may wait for a slow log: a second of a busy host.
const WAITING: usize = 4_096;

/// Opens the log; it is closed when the handle is dropped.
pub(crate) fn open(settings: &LogSettings, counters: Counters) -> Result<LoggerHandle, RunError> {
    let spec = spec(&settings.level);
    let start = || -> Result<LoggerHandle, FlexiLoggerError> {
        let logger = Logger::try_with_str(spec)?.use_utc().format(line);
        let logger = match &settings.file {
            Some(path) => logger.log_to_file(FileSpec::try_from(path)?).append(),
            None => logger.log_to_writer(Box::new(Output::start(counters)?)),
        };
        logger.start()
    };
    start().map_err(|e| RunError::Log(e.to_string()))
}

/// Puts another level in force.
pub(crate) fn set_level(handle: &LoggerHandle, settings: &LogSettings) -> Result<(), RunError> {
    let done = handle.parse_new_spec(&spec(&settings.level));
    done.map_err(|e| RunError::Log(e.to_string()))
}

/// Libraries log what operators cannot act on; only their errors pass.
fn spec(level: &str) -> String {
    format!("error, {TARGET}={level}")
}

/// Writes `time level event=.. key=value ..`; a library's line becomes an event too.
fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.6fZ");
    write!(out, "{time} {} ", record.level())?;
    if record.target().starts_with(TARGET) {
        write!(out, "{}", record.args())
    } else {
        let text = record.args().to_string();
        write!(out, "event=library target={} message={text:?}", record.target())
    }
}

/// Hands lines to the thread that writes them.
struct Output {
    lines: SyncSender<Vec<u8>>,
    counters: Counters,
}

impl Output {
    fn start(counters: Counters) -> io::Result<Self> {
        let (lines, queue) = sync_channel(WAITING);
        let counted = counters.clone();
        let thread = thread::Builder::new().name("log".to_owned());
        thread.spawn(move || copy(&queue, &counted))?;
        Ok(Self { lines, counters })
    }
}

/// Writes lines until the process ends, several at a time while many wait.
fn copy(queue: &Receiver<Vec<u8>>, counters: &Counters) {
    let mut told = 0;
    let mut out = Vec::new();
    while let Ok(first) = queue.recv() {
        out.extend_from_slice(&first);
        queue.try_iter().take(WAITING).for_each(|next| out.extend_from_slice(&next));
        let dropped = counters.io_count(IoMetric::LinesDropped);
        if dropped > told {
            // This line is the only trace of those that are missing.
            let _ = writeln!(out, "WARN event=lines_dropped count={}", dropped - told);
            told = dropped;
        }
        // Nobody can be told of an output that is closed.
        let _ = io::stdout().lock().write_all(&out).and_then(|()| io::stdout().flush());
        out.clear();
    }
}

impl LogWriter for Output {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        line(&mut text, now, record)?;
        text.push(b'\n');
        if self.lines.try_send(text).is_err() {
            self.counters.count_io(IoMetric::LinesDropped, 1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a note of the kernel.
pub(crate) fn log_note(note: &Note) {
    if !log::log_enabled!(target: TARGET, level(note.level)) {
        return;
    }
    let mut text = format!("event={}", note.event);
    if let Some(id) = &note.id {
        let _ = write!(text, " id={}", value(id));
    }
    for (key, pair) in &note.pairs {
        let _ = write!(text, " {key}={}", value(pair));
    }
    log::log!(target: TARGET, level(note.level), "{text}");
}

/// Quotes a value that would not read as one word.
fn value(text: &str) -> String {
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    if plain { text.to_owned() } else { format!("{text:?}") }
}

fn level(level: Level) -> log::Level {
    match level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    }
}
