//! `status`: shows the state of entry hosts side by side.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::cli::StatusArgs;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::http::HostClient;
use crate::out;

/// Row with the error of a host whose state could not be read.
const ERROR: &str = "error";
/// Width of a host's column, in characters.
const COLUMN_WIDTH: usize = 24;

/// Lists that the table summarizes: name, fields counted by value, fields added up.
/// A row for each shard and server of each host would make the table unreadable.
const SUMMARIZED: [(&str, &[&str], &[&str]); 3] = [
    ("hosts", &["state"], &["backlog"]),
    ("shards", &["role", "synced"], &["ids"]),
    ("servers", &["health"], &["slots", "free", "waiting"]),
];

/// Shows the state of entry hosts, with one column per host and one row per value.
pub(crate) fn run(context: &Context, args: &StatusArgs) -> Result<Exit, CtlError> {
    let http = HostClient::new();
    let mut unreachable = false;
    let mut pages: Vec<(SocketAddr, Value)> = Vec::new();
    for host in &args.hosts {
        let page = http.status(*host).unwrap_or_else(|error| {
            unreachable = true;
            Value::Object(Map::from_iter([(ERROR.to_owned(), error.reason.into())]))
        });
        pages.push((*host, page));
    }
    if context.json {
        let hosts = pages.into_iter().map(|(host, page)| (host.to_string(), page));
        out::print_json(&Value::Object(hosts.collect()));
    } else {
        out::print(&table(&pages));
    }
    Ok(if unreachable { Exit::Unreachable } else { Exit::Done })
}

fn table(pages: &[(SocketAddr, Value)]) -> String {
    let columns: Vec<BTreeMap<String, String>> =
        pages.iter().map(|(_, page)| flatten_page(page)).collect();
    let mut rows: Vec<&String> = columns.iter().flat_map(BTreeMap::keys).collect();
    rows.sort();
    rows.dedup();
    let label_width = rows.iter().map(|row| row.len()).max().unwrap_or(0);
    let mut text = format!("{:label_width$}", "host");
    pages
        .iter()
        .for_each(|(host, _)| text.push_str(&format!("  {:COLUMN_WIDTH$}", host.to_string())));
    for row in rows {
        text.push_str(&format!("\n{row:label_width$}"));
        for column in &columns {
            let value = column.get(row).map_or("-", String::as_str);
            text.push_str(&format!("  {value:COLUMN_WIDTH$}"));
        }
    }
    text
}

/// Returns the counters in a host's state.
pub(crate) fn counters(page: &Value) -> BTreeMap<String, u64> {
    let fields = page.get("counters").and_then(Value::as_object);
    let counts = fields.into_iter().flatten();
    counts.filter_map(|(name, count)| Some((name.clone(), count.as_u64()?))).collect()
}

/// Flattens nested values into rows named by their path.
fn flatten_page(page: &Value) -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    collect_rows("", page, &mut rows);
    rows
}

fn collect_rows(path: &str, value: &Value, rows: &mut BTreeMap<String, String>) {
    if let Some((_, counted, summed)) = SUMMARIZED.iter().find(|(group, ..)| *group == path) {
        return summarize(path, value, (counted, summed), rows);
    }
    let text = match value {
        Value::Object(fields) => {
            let dot = if path.is_empty() { "" } else { "." };
            let nested = fields.iter().map(|(name, value)| (format!("{path}{dot}{name}"), value));
            return nested.for_each(|(path, value)| collect_rows(&path, value, rows));
        }
        Value::Array(items) => format!("{} items", items.len()),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    rows.insert(path.to_owned(), text);
}

fn summarize(
    path: &str,
    list: &Value,
    (counted, summed): (&[&str], &[&str]),
    rows: &mut BTreeMap<String, String>,
) {
    let items: Vec<&Value> = match list {
        Value::Object(fields) => fields.values().collect(),
        Value::Array(items) => items.iter().collect(),
        _ => Vec::new(),
    };
    rows.insert(path.to_owned(), items.len().to_string());
    for field in counted {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for field_value in items.iter().filter_map(|item| item.get(field)) {
            let field_value =
                field_value.as_str().map_or_else(|| field_value.to_string(), str::to_lowercase);
            *counts.entry(field_value).or_default() += 1;
        }
        for (field_value, count) in counts {
            rows.insert(format!("{path}.{field}.{field_value}"), count.to_string());
        }
    }
    for field in summed {
        let sum: u64 = items.iter().filter_map(|item| item.get(field)?.as_u64()).sum();
        rows.insert(format!("{path}.{field}"), sum.to_string());
    }
}
