//! Checks that every mutation under `mutations/` still applies to the code.
//!
//! `mutations/run.sh` tests whether each mutation is caught; that takes minutes and is not part
//! of CI.

use std::fs;
use std::path::Path;

/// A hunk of a patch.
#[derive(Debug, Default)]
struct Hunk {
    /// Source file that the hunk applies to.
    file: String,
    /// Lines that the source file must contain.
    old: String,
    /// Whether the hunk adds or removes lines.
    changes: bool,
}

/// Guards against patches that no longer apply after a change of the code, which would otherwise
/// go unnoticed until the next run of the script.
#[test]
fn mutations_apply() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/mutations");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut patches = 0;
    for entry in fs::read_dir(folder).expect("directory of mutations") {
        let path = entry.expect("directory entry").path();
        if path.extension().is_none_or(|extension| extension != "patch") {
            continue;
        }
        patches += 1;
        let patch_hunks = parse_hunks(&fs::read_to_string(&path).expect("patch file"));
        assert!(!patch_hunks.is_empty(), "{} has no hunks", path.display());
        for hunk in patch_hunks {
            let code = fs::read_to_string(root.join(&hunk.file)).expect("source file");
            assert!(hunk.changes, "{} changes nothing", path.display());
            assert!(code.contains(&hunk.old), "{} does not apply", path.display());
        }
    }
    assert!(patches >= 8, "only {patches} mutations found");
}

/// Parses the hunks of a patch.
fn parse_hunks(patch: &str) -> Vec<Hunk> {
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
