//! Tasks and locks of the serving node.

use std::fs;
use std::path::{Path, PathBuf};

/// The only file that may start tasks directly.
const TASKS: &str = "src/tasks.rs";

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        let is_test = path.ends_with("tests.rs") || path.ends_with("tests");
        if path.is_dir() && !is_test {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") && !is_test {
            found.push(path);
        }
    }
}

fn sources_containing(text: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    collect_sources(&root.join("src"), &mut files);
    collect_sources(&root.join("../../platform/src"), &mut files);
    assert!(files.len() > 100);
    files.retain(|path| {
        let source = fs::read_to_string(path).expect("a readable file");
        source.contains(text)
    });
    files
}

/// Guards against tasks whose panic nobody reports.
#[test]
fn tasks_are_spawned_in_one_module_only() {
    for call in ["tokio::spawn", "task::spawn", "JoinSet", "spawn_blocking"] {
        let files = sources_containing(call);
        let others: Vec<_> = files.iter().filter(|path| !path.ends_with(TASKS)).collect();
        assert!(others.is_empty(), "{call}: {others:?}");
    }
}

/// Guards against a panic that makes every later use of a lock panic too.
#[test]
fn locks_are_not_poisoned_by_panics() {
    let files = sources_containing("poisoned");
    assert!(files.is_empty(), "{files:?}");
}
