//! The log: one line of `key=value` pairs for each event.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;

use endivestile_config::LogSettings;
use endivestile_kernel::{Level, Note};
use flexi_logger::{DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

use crate::counters::{Counters, Tally};
use crate::error::RunError;

/// Target of the daemon's own lines.
const TARGET: &str = "endivestile";
/// Notes that may wait for a slow log.
const WAITING: usize = 8_192;

/// Opens the log; it is closed when the handle is dropped.
pub(crate) fn open(settings: &LogSettings) -> Result<LoggerHandle, RunError> {
    // Libraries log what operators cannot act on; only their errors pass.
    let spec = format!("error, {TARGET}={}", settings.level);
    let start = || -> Result<LoggerHandle, FlexiLoggerError> {
        let logger = Logger::try_with_str(spec)?.use_utc().format(line);
        let logger = match &settings.file {
            Some(path) => logger.log_to_file(FileSpec::try_from(path)?).append(),
            None => logger.log_to_stderr(),
        };
        logger.start()
    };
    start().map_err(|e| RunError::Log(e.to_string()))
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

/// Writes the kernel's notes in a thread of its own.
///
/// A log that stands still, such as a full pipe, would otherwise stop the
/// engine in the middle of a line, and every call with it. Lines beyond what
/// may wait are dropped and counted.
#[derive(Debug, Clone)]
pub(crate) struct Notes {
    /// Notes to write.
    notes: SyncSender<Note>,
    /// Where drops are counted.
    counters: Counters,
}

impl Notes {
    /// Starts the thread.
    pub(crate) fn start(counters: Counters) -> Result<Self, RunError> {
        let (notes, queue) = sync_channel::<Note>(WAITING);
        let thread = thread::Builder::new().name("notes".to_owned());
        let work = move || queue.iter().for_each(|note| write(&note));
        thread.spawn(work).map_err(|source| RunError::Thread { step: "write-notes", source })?;
        Ok(Self { notes, counters })
    }

    /// Writes a note.
    pub(crate) fn note(&self, note: Note) {
        if log::log_enabled!(target: TARGET, level(note.level))
            && self.notes.try_send(note).is_err()
        {
            self.counters.tally(Tally::NotesDropped, 1);
        }
    }
}

fn write(note: &Note) {
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
