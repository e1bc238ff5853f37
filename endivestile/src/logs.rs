//! The log: one line of `key=value` pairs for each event, on standard output.
//!
//! A blocked output, such as a full pipe, would block the engine in the middle
//! of a line, and every call with it. Lines therefore pass through a bounded
//! queue to a thread that writes them. No thread waits for space in the queue:
//! lines that do not fit are dropped, and their count is logged.

use std::cell::RefCell;
use std::fmt;
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

/// Log target of the daemon's own lines.
const TARGET: &str = "endivestile";
/// Lines queued for a slow output: one second of a busy host.
const MAX_QUEUED_LINES: usize = 4_096;

/// Starts the log, which is closed when the handle is dropped.
pub(crate) fn open(settings: &LogSettings, counters: Counters) -> Result<LoggerHandle, RunError> {
    let spec = filter_spec(&settings.level);
    let start = || -> Result<LoggerHandle, FlexiLoggerError> {
        let logger = Logger::try_with_str(spec)?.use_utc().format(format_line);
        let logger = match &settings.file {
            Some(path) => logger.log_to_file(FileSpec::try_from(path)?).append(),
            None => logger.log_to_writer(Box::new(StdoutWriter::start(counters)?)),
        };
        logger.start()
    };
    start().map_err(|e| RunError::Log(e.to_string()))
}

/// Changes the log level.
pub(crate) fn set_level(handle: &LoggerHandle, settings: &LogSettings) -> Result<(), RunError> {
    let result = handle.parse_new_spec(&filter_spec(&settings.level));
    result.map_err(|e| RunError::Log(e.to_string()))
}

/// Returns the filter for a level. Libraries log only their errors: operators cannot act
/// on the rest.
fn filter_spec(level: &str) -> String {
    format!("error, {TARGET}={level}")
}

/// Writes `time level event=.. key=value ..`; a library's line becomes `event=library`.
fn format_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    write_time(out, now)?;
    write!(out, " {} ", record.level())?;
    if record.target().starts_with(TARGET) {
        write!(out, "{}", record.args())
    } else {
        let text = record.args().to_string();
        write!(out, "event=library target={} message={text:?}", record.target())
    }
}

thread_local! {
    /// The last second that was written, since the Unix epoch, and its text. Interpreting the
    /// format for every line took longer than writing the rest of the line.
    static LAST_SECOND: RefCell<(i64, String)> = const { RefCell::new((i64::MIN, String::new())) };
}

/// Writes the time as `2026-01-31T23:59:59.000000Z`.
fn write_time(out: &mut dyn Write, now: &mut DeferredNow) -> io::Result<()> {
    let now = now.now_utc_owned();
    LAST_SECOND.with_borrow_mut(|(second, text)| {
        if *second != now.timestamp() {
            *second = now.timestamp();
            *text = now.format("%Y-%m-%dT%H:%M:%S").to_string();
        }
        write!(out, "{text}.{:06}Z", now.timestamp_subsec_micros())
    })
}

/// Sends lines to the thread that writes them to standard output.
struct StdoutWriter {
    lines: SyncSender<Vec<u8>>,
    counters: Counters,
}

impl StdoutWriter {
    fn start(counters: Counters) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let thread_counters = counters.clone();
        let thread = thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(&queue, &thread_counters))?;
        Ok(Self { lines, counters })
    }
}

/// Writes queued lines in batches until the process ends.
fn write_lines(queue: &Receiver<Vec<u8>>, counters: &Counters) {
    let mut reported = 0;
    let mut out = Vec::new();
    while let Ok(first) = queue.recv() {
        out.extend_from_slice(&first);
        queue.try_iter().take(MAX_QUEUED_LINES).for_each(|next| out.extend_from_slice(&next));
        let dropped = counters.io_count(IoMetric::LinesDropped);
        if dropped > reported {
            // This line is the only trace of the dropped ones.
            let _ = writeln!(out, "WARN event=lines_dropped count={}", dropped - reported);
            reported = dropped;
        }
        // There is nowhere to report a closed output.
        let _ = io::stdout().lock().write_all(&out).and_then(|()| io::stdout().flush());
        out.clear();
    }
}

impl LogWriter for StdoutWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        format_line(&mut text, now, record)?;
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

/// Logs a note of the kernel.
pub(crate) fn log_note(note: &Note) {
    if !log::log_enabled!(target: TARGET, level(note.level)) {
        return;
    }
    log::log!(target: TARGET, level(note.level), "{}", NoteText(note));
}

/// Text of a note, written directly into the line.
struct NoteText<'a>(&'a Note);

impl fmt::Display for NoteText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("event=")?;
        f.write_str(self.0.event)?;
        if let Some(id) = &self.0.id {
            f.write_str(" id=")?;
            write_quoted(f, id)?;
        }
        for (key, value) in &self.0.pairs {
            f.write_str(" ")?;
            f.write_str(key)?;
            f.write_str("=")?;
            write_quoted(f, value)?;
        }
        Ok(())
    }
}

/// Writes a value, quoted unless it is a single printable word.
fn write_quoted(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    let is_word = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    if is_word { f.write_str(text) } else { write!(f, "{text:?}") }
}

fn level(level: Level) -> log::Level {
    match level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    }
}
