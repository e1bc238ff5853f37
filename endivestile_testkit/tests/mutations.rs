//! Every mutation under `mutations/` still applies to the code.
//!
//! `mutations/run.sh` tries them; that takes minutes and is not part of CI.

use std::fs;
use std::path::Path;

/// One hunk of a patch: the lines that it expects.
#[derive(Debug, Default)]
struct Hunk {
    file: String,
    old: String,
    changes: bool,
}

// Code moves on, and a patch that does not apply any more is noticed only when
// somebody runs the script. Whoever relies on the list of caught mutations
// would be relying on nothing.
#[test]
fn mutations_apply() {
    let here = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/mutations");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut patches = 0;
    for entry in fs::read_dir(here).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.extension().is_none_or(|extension| extension != "patch") {
            continue;
        }
        patches += 1;
        let found = hunks(&fs::read_to_string(&path).expect("a patch"));
        assert!(!found.is_empty(), "{} has no hunk", path.display());
        for hunk in found {
            let code = fs::read_to_string(root.join(&hunk.file)).expect("a source file");
            assert!(hunk.changes, "{} changes nothing", path.display());
            assert!(code.contains(&hunk.old), "{} does not apply", path.display());
        }
    }
    assert!(patches >= 8, "{patches} mutations");
}

fn hunks(patch: &str) -> Vec<Hunk> {
    let mut hunks: Vec<Hunk> = Vec::new();
    let mut file = "";
    for line in patch.lines() {
        if let Some(name) = line.strip_prefix("+++ b/") {
            file = name;
        } else if line.starts_with("--- a/") {
            file = "";
        } else if line.starts_with("@@") {
            hunks.push(Hunk { file: file.to_owned(), ..Hunk::default() });
        } else if let Some(hunk) = hunks.last_mut().filter(|hunk| hunk.file == file) {
            match line.split_at_checked(1) {
                Some((" " | "-", text)) => hunk.old += &format!("{text}\n"),
                Some(("+", _)) => hunk.changes = true,
                _ => {}
            }
            hunk.changes |= line.starts_with('-');
        }
    }
    hunks
}
