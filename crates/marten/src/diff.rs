//! Differences between two operators' files, by entry.

use std::collections::BTreeMap;

use model::{OperatorFile, RawOperatorFile};
use serde_json::Value;

/// Returns one line for each entry that was removed (`-`), changed (`~`) or added (`+`).
pub(crate) fn differences(old: Option<&OperatorFile>, new: &OperatorFile) -> Vec<String> {
    let old = old.map(flatten).unwrap_or_default();
    let new = flatten(new);
    let mut lines = Vec::new();
    for (path, value) in &old {
        match new.get(path) {
            None => lines.push(format!("- {path}: {value}")),
            Some(other) if other != value => lines.push(format!("~ {path}: {value} -> {other}")),
            Some(_) => {}
        }
    }
    let added = new.iter().filter(|(path, _)| !old.contains_key(*path));
    lines.extend(added.map(|(path, value)| format!("+ {path}: {value}")));
    lines
}

/// Returns each entry of the file by its path; entries of lists are identified by their ids.
fn flatten(file: &OperatorFile) -> BTreeMap<String, String> {
    let raw = RawOperatorFile::from(file.clone());
    let value = serde_json::to_value(raw).expect("our own types always serialize");
    let mut entries = BTreeMap::new();
    let Value::Object(sections) = value else { return entries };
    for (section, value) in sections {
        match value {
            Value::Array(items) => {
                for item in items {
                    let id = item.get("id").and_then(Value::as_str).unwrap_or_default().to_owned();
                    entries.insert(format!("{section}.{id}"), item.to_string());
                }
            }
            other => {
                entries.insert(section, other.to_string());
            }
        }
    }
    entries
}
