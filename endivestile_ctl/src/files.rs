//! Files that operators hand in.

use std::fs::File;
use std::io::{self, Read};

use endivestile_config::model::Config;
use endivestile_config::{MAX_BYTES, check, locate, parse_files};

use crate::error::CtlError;

/// Name that stands for standard input.
const STDIN: &str = "-";

/// Reads a file or, for `-`, standard input, up to `limit` bytes and one more.
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

/// Reads, parses and checks inventory and rules.
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
