//! Writes to standard output and standard error.

use std::io::{self, Write};

use serde::Serialize;

/// Writes a text to standard output, with a newline at its end.
pub(crate) fn print(text: &str) {
    let mut out = io::stdout().lock();
    // A reader such as `head` may close the pipe early.
    let _ = out.write_all(text.as_bytes());
    if !text.ends_with('\n') {
        let _ = out.write_all(b"\n");
    }
}

/// Writes bytes to standard output unchanged.
pub(crate) fn print_bytes(bytes: &[u8]) {
    // The reader may have closed the pipe.
    let _ = io::stdout().lock().write_all(bytes);
}

/// Writes a value to standard output as one line of JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => print(&text),
        Err(error) => print_error(&error.to_string()),
    }
}

/// Writes a line to standard error.
pub(crate) fn print_error(text: &str) {
    // A failed write to standard error can't be reported anywhere.
    let _ = writeln!(io::stderr().lock(), "{text}");
}

/// Formats seconds since 1970 as `YYYY-MM-DDThh:mm:ssZ`.
pub(crate) fn format_utc(at_s: u64) -> String {
    const DAY_S: u64 = 86_400;
    let (year, month, day) = date_from_days(at_s / DAY_S);
    let second = at_s % DAY_S;
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", second % 60)
}

/// Converts days since 1970 to year, month and day of the Gregorian calendar.
///
/// Counts years from March, so that a leap day is the last day of its year.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    const DAYS_OF_400_YEARS: u64 = 146_097;
    const MARCH_0000_TO_1970: u64 = 719_468;
    let days_since_year_0 = days + MARCH_0000_TO_1970;
    let cycle = days_since_year_0 / DAYS_OF_400_YEARS;
    let day_of_cycle = days_since_year_0 % DAYS_OF_400_YEARS;
    let year = (day_of_cycle - day_of_cycle / 1_460 + day_of_cycle / 36_524
        - day_of_cycle / 146_096)
        / 365;
    let day_of_year = day_of_cycle - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    (cycle * 400 + year + carry, month, day)
}
