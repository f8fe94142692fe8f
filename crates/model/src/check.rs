//! Errors of checked construction: the JSON path, the value there, and what is allowed.

use std::fmt;

use derive_more::Error;
use serde::de::DeserializeOwned;

/// A place in a JSON document, written like `customers[2].share`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct JsonPath(String);

impl JsonPath {
    /// The document itself.
    pub fn root() -> JsonPath {
        JsonPath::default()
    }

    /// The field of that name below this place.
    pub fn field(&self, name: &str) -> JsonPath {
        if self.0.is_empty() { JsonPath(name.to_owned()) } else { JsonPath(format!("{}.{name}", self.0)) }
    }

    /// The element of that index below this place.
    pub fn index(&self, i: usize) -> JsonPath {
        JsonPath(format!("{}[{i}]", self.0))
    }
}

impl fmt::Display for JsonPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_empty() { "(document)" } else { &self.0 })
    }
}

/// Why a document was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct CheckError {
    /// Where.
    pub path: JsonPath,
    /// What stands there, as text; empty if `allowed` says it.
    pub value: String,
    /// What may stand there instead.
    pub allowed: String,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CheckError { path, value, allowed } = self;
        match (*path == JsonPath::root(), value.is_empty()) {
            (true, true) => f.write_str(allowed),
            (false, true) => write!(f, "{path}: {allowed}"),
            _ => write!(f, "{path}: {value} is refused: {allowed}"),
        }
    }
}

impl CheckError {
    /// An error at `path`.
    pub fn new(path: &JsonPath, value: impl fmt::Display, allowed: impl Into<String>) -> CheckError {
        CheckError { path: path.clone(), value: value.to_string(), allowed: allowed.into() }
    }
}

/// Reads a checked type from JSON text; the error names the path.
pub fn from_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, CheckError> {
    let mut de = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string();
        let path = if path == "." { JsonPath::root() } else { JsonPath(path) };
        CheckError { path, value: String::new(), allowed: e.inner().to_string() }
    })?;
    de.end().map_err(|e| CheckError::new(&JsonPath::root(), "the text after the document", e.to_string()))?;
    Ok(value)
}
