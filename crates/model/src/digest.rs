//! Digest of an answer, which detects a truncated, damaged or foreign answer.

use std::{fmt::Write, str::FromStr};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::QuantityError;

/// SHA-256 of a byte string, as 64 lowercase hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut hex = String::with_capacity(64);
        for byte in Sha256::digest(bytes) {
            write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
        }
        Digest(hex)
    }
}

impl FromStr for Digest {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        if text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Ok(Digest(text.to_ascii_lowercase()));
        }
        Err(QuantityError { kind: "digest", text: text.to_owned(), allowed: "64 hexadecimal digits" })
    }
}
