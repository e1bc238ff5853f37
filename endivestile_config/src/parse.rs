//! Inventory and rules from INI texts, and their canonical form.

use std::collections::BTreeMap;

use crate::document::{MAX_BYTES, Section, read};
use crate::error::{ConfigError, Place};
use crate::keys::{Keys, fill, unknown_key, write};
use crate::model::{Config, Name, Rules, Server, Service};
use crate::raw::{NAME_ACCEPTED, Raw, is_name, nearest};

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
/// The section that only the canonical form has.
const HEAD: &str = "configuration";
/// The section of the rules.
const RULES: &str = "rules";

/// A text and the name under which errors mention it.
pub type File<'a> = (&'a str, &'a str);

/// Head of the canonical form.
#[derive(Debug, Default)]
struct Head {
    /// Revision of the configuration.
    revision: u64,
}

impl Keys for Head {
    const KEYS: &'static [&'static str] = &["revision"];
    const REQUIRED: &'static [&'static str] = &["revision"];

    fn set(&mut self, raw: &Raw) -> Result<(), ConfigError> {
        match raw.place.key.as_str() {
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
/// The first fault of the text. References between sections are left to
/// [`check`](crate::check()).
pub fn parse(text: &str, origin: &str) -> Result<Config, ConfigError> {
    parse_files(&[(origin, text)])
}

/// Parses a configuration whose sections are spread over several files, each
/// given as `(origin, text)`.
///
/// # Errors
///
/// As [`parse`]; the files together may be no larger than [`MAX_BYTES`].
pub fn parse_files(files: &[File<'_>]) -> Result<Config, ConfigError> {
    let bytes = files.iter().map(|(_, text)| text.len()).sum();
    if bytes > MAX_BYTES {
        let origin = files.iter().map(|(origin, _)| *origin).collect::<Vec<_>>().join(" + ");
        let place = Place { origin: Name::from(origin), ..Place::default() };
        return Err(ConfigError::Size { place, bytes, limit: MAX_BYTES });
    }
    let mut config = Config::default();
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    let mut services = Vec::new();
    for (origin, text) in files {
        for section in read(text, origin)? {
            let title = format!("{} {}", section.kind, section.name);
            if let Some(first) = seen.insert(title, section.place.line) {
                return Err(ConfigError::Twice { place: section.place, first });
            }
            add(&mut config, &section)?;
            if section.kind == "service" {
                services.push(section);
            }
        }
    }
    for section in &services {
        expand(&mut config, section)?;
    }
    Ok(config)
}

fn add(config: &mut Config, section: &Section) -> Result<(), ConfigError> {
    if !KINDS.contains(&section.kind.as_str()) {
        let near = nearest(&section.kind, KINDS).unwrap_or_default();
        return Err(ConfigError::Section { place: section.place.clone(), near });
    }
    check_name(section)?;
    match section.kind.as_str() {
        "availability-zone" => insert(&mut config.zones, section),
        "host" => insert(&mut config.hosts, section),
        "backend-server" => insert(&mut config.servers, section),
        "worker" => insert(&mut config.workers, section),
        "service" => insert(&mut config.services, section),
        "team" => insert(&mut config.teams, section),
        RULES => fill(&mut config.rules, section),
        _ => {
            let mut head = Head::default();
            fill(&mut head, section)?;
            config.revision = head.revision;
            Ok(())
        }
    }
}

fn check_name(section: &Section) -> Result<(), ConfigError> {
    let single = matches!(section.kind.as_str(), RULES | HEAD);
    if single && section.name.is_empty() || !single && is_name(&section.name) {
        return Ok(());
    }
    let accepted = if single { "no name" } else { NAME_ACCEPTED };
    let raw = Raw { place: section.place.clone(), text: section.name.clone() };
    Err(raw.refuse(accepted))
}

fn insert<T: Keys + Default>(
    map: &mut BTreeMap<Name, T>,
    section: &Section,
) -> Result<(), ConfigError> {
    let mut value = T::default();
    fill(&mut value, section)?;
    map.insert(Name::from(section.name.as_str()), value);
    Ok(())
}

/// Replaces the patterns of a service by the names they match, sorted.
fn expand(config: &mut Config, section: &Section) -> Result<(), ConfigError> {
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
        names.extend(matching(&config.servers, pattern));
        if names.len() == before {
            let place = place_of(section, "backend-servers");
            return Err(ConfigError::Reference { place, value: pattern.to_string(), near: None });
        }
    }
    names.sort();
    names.dedup();
    service.servers = names;
    Ok(())
}

fn matching(servers: &BTreeMap<Name, Server>, pattern: &str) -> Vec<Name> {
    servers.keys().filter(|name| glob(pattern, name)).cloned().collect()
}

/// Matches a name against a pattern in which `*` stands for any run of
/// characters. The first piece is anchored at the start and the last one at
/// the end; the others are found from left to right, which is enough.
fn glob(pattern: &str, name: &str) -> bool {
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

fn place_of(section: &Section, key: &str) -> Place {
    let raw = section.values.iter().find(|raw| raw.place.key == key);
    raw.map_or_else(|| section.place.clone(), |raw| raw.place.clone())
}

/// Adds file and line to errors of [`check`](crate::check()), which knows only
/// section and key.
pub fn locate(files: &[File<'_>], errors: &mut [ConfigError]) {
    let texts = files.iter().map(|(origin, text)| read(text, origin));
    let sections: Vec<Section> = texts.filter_map(Result::ok).flatten().collect();
    for place in errors.iter_mut().filter_map(ConfigError::place_mut) {
        let title = |section: &&Section| {
            format!("{} {}", section.kind, section.name).trim_end() == place.section
        };
        if let Some(section) = sections.iter().find(title) {
            let found = place_of(section, &place.key);
            place.origin = found.origin;
            place.line = found.line;
        }
    }
}

impl Config {
    /// Returns the canonical form: every key, sections sorted by kind and name.
    ///
    /// Parsing it gives the same configuration again.
    pub fn canonical(&self) -> String {
        let mut out = String::new();
        write(&mut out, HEAD, &Head { revision: self.revision });
        out.push('\n');
        write::<Rules>(&mut out, RULES, &self.rules);
        write_all(&mut out, "availability-zone", &self.zones);
        write_all(&mut out, "host", &self.hosts);
        write_all(&mut out, "backend-server", &self.servers);
        write_all(&mut out, "worker", &self.workers);
        write_all::<Service>(&mut out, "service", &self.services);
        write_all(&mut out, "team", &self.teams);
        out
    }
}

fn write_all<T: Keys>(out: &mut String, kind: &str, map: &BTreeMap<Name, T>) {
    for (name, value) in map {
        out.push('\n');
        write(out, &format!("{kind} {name}"), value);
    }
}
