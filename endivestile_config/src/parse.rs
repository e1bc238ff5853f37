//! Parses inventory and rules from INI texts and writes their canonical form.

use std::collections::BTreeMap;

use crate::document::{MAX_BYTES, Section, read_sections};
use crate::error::{ConfigError, Location};
use crate::keys::{SectionFields, set_keys, unknown_key, write_section};
use crate::model::{Config, Name, Rules, Server, Service};
use crate::raw::{NAME_ACCEPTED, RawValue, is_valid_name, nearest};

/// Kinds of sections.
const KINDS: [&str; 8] = [
    "availability-zone",
    "backend-server",
    "configuration",
    "host",
    "team",
    "rules",
    "service",
    "worker",
];
/// Section that only the canonical form has.
const CONFIGURATION: &str = "configuration";
/// Section of the rules.
const RULES: &str = "rules";

/// Name of a text in errors, and the text.
pub type SourceFile<'a> = (&'a str, &'a str);

/// Section `configuration` of the canonical form.
#[derive(Debug, Default)]
struct Header {
    /// Revision of the configuration.
    revision: u64,
}

impl SectionFields for Header {
    const KEYS: &'static [&'static str] = &["revision"];
    const REQUIRED: &'static [&'static str] = &["revision"];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "revision" => self.revision = raw.number(0..=i64::MAX as u64)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, _key: &str) -> String {
        self.revision.to_string()
    }
}

/// Parses a whole configuration; `origin` names the text in errors.
///
/// # Errors
///
/// The first error in the text. References between sections are not resolved; see
/// [`check`](crate::check()).
pub fn parse(text: &str, origin: &str) -> Result<Config, ConfigError> {
    parse_files(&[(origin, text)])
}

/// Parses a configuration whose sections are spread over several files, each
/// given as `(origin, text)`.
///
/// # Errors
///
/// As [`parse`], or the files together are larger than [`MAX_BYTES`].
pub fn parse_files(files: &[SourceFile<'_>]) -> Result<Config, ConfigError> {
    let bytes = files.iter().map(|(_, text)| text.len()).sum();
    if bytes > MAX_BYTES {
        let origin = files.iter().map(|(origin, _)| *origin).collect::<Vec<_>>().join(" + ");
        let location = Location { origin: Name::from(origin), ..Location::default() };
        return Err(ConfigError::TooLarge { location, bytes, limit: MAX_BYTES });
    }
    let mut config = Config::default();
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    let mut services = Vec::new();
    for (origin, text) in files {
        for section in read_sections(text, origin)? {
            let title = format!("{} {}", section.kind, section.name);
            if let Some(first) = seen.insert(title, section.location.line) {
                return Err(ConfigError::Duplicate {
                    location: section.location,
                    first_line: first,
                });
            }
            add_section(&mut config, &section)?;
            if section.kind == "service" {
                services.push(section);
            }
        }
    }
    for section in &services {
        expand_patterns(&mut config, section)?;
    }
    Ok(config)
}

fn add_section(config: &mut Config, section: &Section) -> Result<(), ConfigError> {
    if !KINDS.contains(&section.kind.as_str()) {
        let suggestion = nearest(&section.kind, KINDS).unwrap_or_default();
        return Err(ConfigError::UnknownSection { location: section.location.clone(), suggestion });
    }
    check_name(section)?;
    match section.kind.as_str() {
        "availability-zone" => insert(&mut config.zones, section),
        "host" => insert(&mut config.hosts, section),
        "backend-server" => insert(&mut config.servers, section),
        "worker" => insert(&mut config.workers, section),
        "service" => insert(&mut config.services, section),
        "team" => insert(&mut config.teams, section),
        RULES => set_keys(&mut config.rules, section),
        _ => {
            let mut header = Header::default();
            set_keys(&mut header, section)?;
            config.revision = header.revision;
            Ok(())
        }
    }
}

fn check_name(section: &Section) -> Result<(), ConfigError> {
    let single = matches!(section.kind.as_str(), RULES | CONFIGURATION);
    if single && section.name.is_empty() || !single && is_valid_name(&section.name) {
        return Ok(());
    }
    let accepted = if single { "a section without a name" } else { NAME_ACCEPTED };
    let raw = RawValue { location: section.location.clone(), text: section.name.clone() };
    Err(raw.invalid(accepted))
}

fn insert<T: SectionFields + Default>(
    map: &mut BTreeMap<Name, T>,
    section: &Section,
) -> Result<(), ConfigError> {
    let mut value = T::default();
    set_keys(&mut value, section)?;
    map.insert(Name::from(section.name.as_str()), value);
    Ok(())
}

/// Replaces the patterns of a service with the sorted names of the matching servers.
fn expand_patterns(config: &mut Config, section: &Section) -> Result<(), ConfigError> {
    let Some(service) = config.services.get_mut(section.name.as_str()) else {
        return Ok(());
    };
    let mut names: Vec<Name> = Vec::new();
    for pattern in &service.servers {
        if !pattern.contains('*') {
            names.push(pattern.clone());
            continue;
        }
        let before = names.len();
        names.extend(matching_servers(&config.servers, pattern));
        if names.len() == before {
            let location = location_of(section, "backend-servers");
            return Err(ConfigError::UnknownReference {
                location,
                value: pattern.to_string(),
                suggestion: None,
            });
        }
    }
    names.sort();
    names.dedup();
    service.servers = names;
    Ok(())
}

fn matching_servers(servers: &BTreeMap<Name, Server>, pattern: &str) -> Vec<Name> {
    servers.keys().filter(|name| glob_matches(pattern, name)).cloned().collect()
}

/// Matches a name against a pattern in which `*` matches any characters.
///
/// The first piece is anchored at the start and the last one at the end. For the others
/// the leftmost match is sufficient.
fn glob_matches(pattern: &str, name: &str) -> bool {
    let mut pieces = pattern.split('*');
    let Some(mut rest) = pieces.next().and_then(|first| name.strip_prefix(first)) else {
        return false;
    };
    let Some(last) = pieces.next_back() else {
        return rest.is_empty();
    };
    for piece in pieces {
        let Some(at) = rest.find(piece) else {
            return false;
        };
        rest = &rest[at + piece.len()..];
    }
    rest.ends_with(last)
}

fn location_of(section: &Section, key: &str) -> Location {
    let raw = section.values.iter().find(|raw| raw.location.key == key);
    raw.map_or_else(|| section.location.clone(), |raw| raw.location.clone())
}

/// Adds file and line to errors of [`check`](crate::check()), which hold only section and
/// key.
pub fn locate(files: &[SourceFile<'_>], errors: &mut [ConfigError]) {
    let texts = files.iter().map(|(origin, text)| read_sections(text, origin));
    let sections: Vec<Section> = texts.filter_map(Result::ok).flatten().collect();
    for location in errors.iter_mut().filter_map(ConfigError::location_mut) {
        let same_title = |section: &&Section| {
            format!("{} {}", section.kind, section.name).trim_end() == location.section
        };
        if let Some(section) = sections.iter().find(same_title) {
            let found = location_of(section, &location.key);
            location.origin = found.origin;
            location.line = found.line;
        }
    }
}

impl Config {
    /// Returns the canonical form: all keys, with sections sorted by kind and name.
    ///
    /// Parsing it returns the same configuration.
    pub fn canonical(&self) -> String {
        let mut out = String::new();
        write_section(&mut out, CONFIGURATION, &Header { revision: self.revision });
        out.push('\n');
        write_section::<Rules>(&mut out, RULES, &self.rules);
        write_all(&mut out, "availability-zone", &self.zones);
        write_all(&mut out, "host", &self.hosts);
        write_all(&mut out, "backend-server", &self.servers);
        write_all(&mut out, "worker", &self.workers);
        write_all::<Service>(&mut out, "service", &self.services);
        write_all(&mut out, "team", &self.teams);
        out
    }
}

fn write_all<T: SectionFields>(out: &mut String, kind: &str, map: &BTreeMap<Name, T>) {
    for (name, value) in map {
        out.push('\n');
        write_section(out, &format!("{kind} {name}"), value);
    }
}
