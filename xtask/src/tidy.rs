//! Checks what the linter cannot: module docs, file sizes, fresh generated code, paths, words.

use std::{fs, path::Path, path::PathBuf};

use crate::codegen::{self, root};

/// Longest source file, in lines. A longer one says why in a line that contains `LONG:`.
const MAX_LINES: usize = 500;
/// Files that are generated.
const GENERATED: &str = "generated.rs";
/// Paths of some machine, which must not stand in the project; written so as not to find themselves.
const PATHS: [&str; 3] = ["/wo\u{72}k/", "/ro\u{6f}t/", "/ho\u{6d}e/"];
/// Names for which the project has other words (docs/glossary.md).
const WORDS: [&str; 6] =
    ["Tenan\u{74}", "tenant_i\u{64}", "ZoneI\u{64}(", "NodeI\u{64}", "struct Nod\u{65}", "struct Zon\u{65} "];

/// Runs every check.
pub(crate) fn check() -> Result<String, String> {
    codegen::check()?;
    let mut problems = Vec::new();
    let files = sources(&root());
    for file in &files {
        let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let shown = file.strip_prefix(root()).unwrap_or(file).display().to_string();
        check_file(&shown, &text, &mut problems);
    }
    if problems.is_empty() {
        return Ok(format!("{} files are tidy, the generated code is fresh", files.len()));
    }
    Err(problems.join("\n"))
}

fn check_file(shown: &str, text: &str, problems: &mut Vec<String>) {
    for path in PATHS {
        if text.contains(path) {
            problems.push(format!("{shown}: a machine's path stands in it: {path}"));
        }
    }
    if !shown.ends_with(".rs") || shown.ends_with(GENERATED) {
        return;
    }
    let first = text.lines().find(|line| !line.is_empty()).unwrap_or_default();
    if !first.starts_with("//!") {
        problems.push(format!("{shown}: the module has no doc comment at its head"));
    }
    let lines = text.lines().count();
    if lines > MAX_LINES && !text.contains("LONG:") {
        problems.push(format!("{shown}: {lines} lines, more than {MAX_LINES}, without a line that says why (LONG:)"));
    }
    for word in WORDS {
        if text.contains(word) {
            problems.push(format!("{shown}: {word} is not the project's word; see docs/glossary.md"));
        }
    }
}

/// Source, documentation and settings files, without what is built.
fn sources(dir: &Path) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(dir) else { return Vec::new() };
    let mut files = Vec::new();
    for path in entries.flatten().map(|entry| entry.path()) {
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() {
            if name != "target" && name != ".git" {
                files.extend(sources(&path));
            }
        } else if [".rs", ".md", ".toml", ".json", ".proto"].iter().any(|end| name.ends_with(end)) {
            files.push(path);
        }
    }
    files.sort();
    files
}
