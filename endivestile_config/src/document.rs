//! Splits INI texts into sections of raw values with line numbers.

use ini::{Ini, ParseOption, Properties};

use crate::error::{ConfigError, Location};
use crate::model::Name;
use crate::raw::{RawValue, truncate};

/// Maximum size of a text, in bytes: the store's maximum size of a value, less a margin for
/// the store's own framing.
pub const MAX_BYTES: usize = 1_000_000;

/// One section of a text.
#[derive(Debug, Clone)]
pub(crate) struct Section {
    /// Location of its header; names the section as written.
    pub(crate) location: Location,
    /// First word of the header.
    pub(crate) kind: String,
    /// Rest of the header.
    pub(crate) name: String,
    /// Values in the order of the text.
    pub(crate) values: Vec<RawValue>,
}

/// Line numbers of a section, which the INI library does not provide.
#[derive(Debug, Default)]
struct SectionLines {
    /// Line of the header.
    header: usize,
    /// Lines of the keys.
    keys: Vec<usize>,
}

/// Splits a text into its sections.
pub(crate) fn read_sections(text: &str, origin: &str) -> Result<Vec<Section>, ConfigError> {
    let origin = Name::from(origin);
    if text.len() > MAX_BYTES {
        let location = Location { origin, ..Location::default() };
        return Err(ConfigError::TooLarge { location, bytes: text.len(), limit: MAX_BYTES });
    }
    let lines = scan_lines(text, &origin)?;
    let ini = parse_ini(text, &origin)?;
    let ini_sections: Vec<(&str, &Properties)> =
        ini.iter().filter_map(|(name, keys)| Some((name?, keys))).collect();
    if ini_sections.len() != lines.len() {
        return Err(syntax_error(&origin, 0, "sections are not well formed"));
    }
    lines
        .iter()
        .zip(ini_sections)
        .map(|(lines, (title, keys))| build_section(lines, title, keys, &origin))
        .collect()
}

fn parse_ini(text: &str, origin: &Name) -> Result<Ini, ConfigError> {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(text, option)
        .map_err(|error| syntax_error(origin, error.line + 1, &error.msg))
}

fn build_section(
    lines: &SectionLines,
    title: &str,
    keys: &Properties,
    origin: &Name,
) -> Result<Section, ConfigError> {
    let (kind, name) = title.split_once(char::is_whitespace).unwrap_or((title, ""));
    let location = Location {
        origin: origin.clone(),
        line: lines.header,
        section: truncate(title),
        key: String::new(),
    };
    let entries: Vec<(&str, &str)> = keys.iter().collect();
    if entries.len() != lines.keys.len() {
        return Err(syntax_error(origin, lines.header, "keys are not well formed"));
    }
    let values = entries
        .iter()
        .zip(&lines.keys)
        .map(|((key, text), line)| RawValue {
            location: Location { line: *line, key: truncate(key.trim()), ..location.clone() },
            text: text.trim().to_owned(),
        })
        .collect();
    Ok(Section { location, kind: kind.to_owned(), name: name.trim().to_owned(), values })
}

/// Returns the line numbers of headers and keys. Refuses any other line, which the INI
/// library would take for the start of the next key.
fn scan_lines(text: &str, origin: &Name) -> Result<Vec<SectionLines>, ConfigError> {
    let mut sections: Vec<SectionLines> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if line.chars().any(|c| c.is_control() && c != '\t') {
            return Err(syntax_error(origin, number, "control character"));
        }
        if line.ends_with('\\') {
            return Err(syntax_error(origin, number, "a value cannot continue on the next line"));
        }
        if line.starts_with('[') {
            check_header(line, origin, number)?;
            sections.push(SectionLines { header: number, keys: Vec::new() });
            continue;
        }
        let Some(section) = sections.last_mut() else {
            return Err(syntax_error(origin, number, "the first line must be a [section]"));
        };
        if !line.contains('=') || line.starts_with(['=', ':']) {
            return Err(syntax_error(origin, number, "neither [section] nor key = value"));
        }
        section.keys.push(number);
    }
    Ok(sections)
}

fn check_header(line: &str, origin: &Name, number: usize) -> Result<(), ConfigError> {
    let inner = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
    match inner {
        Some(inner) if !inner.contains(['[', ']', '\\']) && !inner.trim().is_empty() => Ok(()),
        _ => Err(syntax_error(origin, number, "a section must be written [kind] or [kind name]")),
    }
}

fn syntax_error(origin: &Name, line: usize, reason: &str) -> ConfigError {
    let location = Location { origin: origin.clone(), line, ..Location::default() };
    ConfigError::Syntax { location, reason: reason.to_owned() }
}
