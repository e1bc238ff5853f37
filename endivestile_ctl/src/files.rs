//! Input files of the commands.

use std::fs::File;
use std::io::{self, Read};

use endivestile_config::model::Config;
use endivestile_config::{MAX_BYTES, check, locate, parse_files};

use crate::error::CtlError;

/// File name that selects standard input.
const STDIN: &str = "-";

/// Reads a file or, for `-`, standard input.
///
/// Reads at most `limit + 1` bytes, so that callers can detect a file that is too long.
pub(crate) fn read(file: &str, limit: usize) -> Result<Vec<u8>, CtlError> {
    let mut bytes = Vec::new();
    let max_bytes = limit as u64 + 1;
    let read = if file == STDIN {
        io::stdin().lock().take(max_bytes).read_to_end(&mut bytes)
    } else {
        File::open(file).and_then(|open| open.take(max_bytes).read_to_end(&mut bytes))
    };
    let fail = |cause| CtlError::File { step: "read", file: file.to_owned(), cause };
    read.map_err(fail)?;
    Ok(bytes)
}

/// Reads, parses and checks a configuration; its errors name file and line.
pub(crate) fn read_config(files: &[String]) -> Result<Config, CtlError> {
    let mut texts = Vec::new();
    for file in files {
        let text = String::from_utf8(read(file, MAX_BYTES)?).map_err(|_| CtlError::File {
            step: "read",
            file: file.clone(),
            cause: io::Error::new(io::ErrorKind::InvalidData, "not UTF-8"),
        })?;
        texts.push((file.as_str(), text));
    }
    let parts: Vec<(&str, &str)> =
        texts.iter().map(|(file, text)| (*file, text.as_str())).collect();
    let config = parse_files(&parts).map_err(|error| CtlError::Refused(vec![error]))?;
    check(&config).map_err(|mut errors| {
        locate(&parts, &mut errors);
        CtlError::Refused(errors)
    })?;
    Ok(config)
}
