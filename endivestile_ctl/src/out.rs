//! Output of the commands.

use std::io::{self, Write};

use serde::Serialize;

/// Writes a text to standard output.
pub(crate) fn say(text: &str) {
    let mut out = io::stdout().lock();
    // A reader that went away, such as `head`, wants no more.
    let _ = out.write_all(text.as_bytes());
    if !text.ends_with('\n') {
        let _ = out.write_all(b"\n");
    }
}

/// Writes bytes to standard output as they are.
pub(crate) fn raw(bytes: &[u8]) {
    // As above.
    let _ = io::stdout().lock().write_all(bytes);
}

/// Writes a value to standard output as one line of JSON.
pub(crate) fn json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => say(&text),
        Err(error) => complain(&error.to_string()),
    }
}

/// Writes a line to standard error.
pub(crate) fn complain(text: &str) {
    // Nothing is left to tell when standard error is closed.
    let _ = writeln!(io::stderr().lock(), "{text}");
}

/// Writes an instant in seconds since 1970 as `YYYY-MM-DDThh:mm:ssZ`.
pub(crate) fn utc(at_s: u64) -> String {
    const DAY_S: u64 = 86_400;
    let (year, month, day) = civil(at_s / DAY_S);
    let second = at_s % DAY_S;
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", second % 60)
}

/// Turns days since 1970 into year, month and day. Years are counted from
/// March, so that the leap day is the last one of its year.
fn civil(days: u64) -> (u64, u64, u64) {
    const DAYS_OF_400_YEARS: u64 = 146_097;
    const MARCH_0000_TO_1970: u64 = 719_468;
    let shifted = days + MARCH_0000_TO_1970;
    let era = shifted / DAYS_OF_400_YEARS;
    let of_era = shifted % DAYS_OF_400_YEARS;
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    (era * 400 + year + carry, month, day)
}
