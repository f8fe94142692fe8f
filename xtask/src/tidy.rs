//! Checks what the linter cannot: module docs, file sizes, fresh generated code, paths, words, names in docs.

use std::{collections::BTreeSet, fs, path::Path, path::PathBuf};

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
/// Pages that may name files and types of earlier versions.
const HISTORY: [&str; 3] = ["docs/incidents/", "docs/measurements.md", "docs/dev/renamed.md"];

/// Runs every check.
pub(crate) fn check() -> Result<String, String> {
    codegen::check()?;
    let mut problems = Vec::new();
    let files = read_all(&sources(&root()))?;
    for (shown, text) in &files {
        check_file(shown, text, &mut problems);
    }
    check_docs(&files, &mut problems);
    if problems.is_empty() {
        return Ok(format!("{} files are tidy, the generated code is fresh", files.len()));
    }
    Err(problems.join("\n"))
}

/// Reads files, each with its path from the root of the repository.
fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, String)>, String> {
    let read = |path: &PathBuf| {
        let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok((path.strip_prefix(root()).unwrap_or(path).display().to_string(), text))
    };
    paths.iter().map(read).collect()
}

/// Checks that the source files and types that docs name in backquotes exist.
fn check_docs(files: &[(String, String)], problems: &mut Vec<String>) {
    let rust = || files.iter().filter(|(shown, _)| shown.ends_with(".rs"));
    let paths: Vec<String> = rust().map(|(shown, _)| format!("/{shown}")).collect();
    let is_word = |c: char| c.is_alphanumeric() || c == '_';
    let names: BTreeSet<&str> = rust().flat_map(|(_, text)| text.split(|c| !is_word(c))).collect();
    let is_current = |shown: &str| shown.ends_with(".md") && !HISTORY.iter().any(|page| shown.starts_with(page));
    for (shown, text) in files.iter().filter(|(shown, _)| is_current(shown)) {
        for quoted in text.lines().flat_map(|line| line.split('`').skip(1).step_by(2)) {
            let exists = match quoted.strip_suffix(".rs") {
                Some(_) => paths.iter().any(|path| path.ends_with(&format!("/{quoted}"))),
                None => quoted.split("::").filter(|part| is_type_name(part)).all(|part| names.contains(part)),
            };
            if !exists {
                problems.push(format!("{shown}: `{quoted}` names no file or type of the code"));
            }
        }
    }
}

/// Returns whether a word is written as types of several words are: `JobId`.
fn is_type_name(word: &str) -> bool {
    let is_camel =
        word.starts_with(|c: char| c.is_ascii_uppercase()) && word.chars().all(|c| c.is_ascii_alphanumeric());
    is_camel && word.contains(|c: char| c.is_ascii_lowercase()) && word[1..].contains(|c: char| c.is_ascii_uppercase())
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
