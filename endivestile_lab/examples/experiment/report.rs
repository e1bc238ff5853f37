//! Output of an experiment.

use std::fmt::Write;

use serde_json::{Value, json};

use crate::run::Slice;
use crate::spec::Spec;
use crate::summary::Row;

/// Returns the experiment, the rows and the counters of each slice as JSON.
pub(crate) fn json(
    spec: &Spec,
    slices: &[Slice],
    rows: &[Row],
) -> Result<String, serde_json::Error> {
    let slices_json: Vec<Value> = slices
        .iter()
        .map(|slice| {
            json!({
                "load": slice.load,
                "policy": slice.policy,
                "span_s": slice.span_s,
                "submissions": slice.arrivals.len(),
                "counts": slice.counts,
            })
        })
        .collect();
    serde_json::to_string_pretty(
        &json!({ "experiment": spec, "rows": rows, "slices": slices_json }),
    )
}

/// Returns the rows as a Markdown table.
pub(crate) fn table(spec: &Spec, rows: &[Row]) -> String {
    let mut text = format!(
        "`{}`: {} hosts, {} backend servers x {} slots, medians of {} rounds, fault {:?}\n\n",
        spec.name, spec.hosts, spec.servers, spec.slots, spec.rounds, spec.fault,
    );
    text.push_str(
        "| load % | policy | each p50 | p50 | p95 | p99 | worst | complete % | not run % | \
         goodput % | messages/task | frames | forwards | handoffs | records | doubled | others |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        push_row(&mut text, row);
    }
    text
}

fn push_row(text: &mut String, row: &Row) {
    let cause = |name: &str| row.causes.get(name).copied().unwrap_or(0.0);
    let others: Vec<String> =
        row.others.iter().map(|(name, count)| format!("{name} {count}")).collect();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.1} | {:.1} | {:.1} | {:.3} | \
         {:.3} | {:.3} | {:.3} | {:.3} | {} | {} |",
        row.load,
        row.policy,
        row.all.each_p50,
        row.all.p50,
        row.all.p95,
        row.all.p99,
        row.all.worst,
        row.complete,
        row.not_run,
        row.goodput,
        row.wasted,
        cause("frames"),
        cause("forwards"),
        cause("handoffs"),
        cause("records"),
        row.doubled,
        others.join(", "),
    );
}
