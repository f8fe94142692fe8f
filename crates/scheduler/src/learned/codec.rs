//! Encoding of a page: JSON with one packed column for each field of the entries.
//!
//! 6,000 backend servers must fit into 100 KB, so an entry has 16 bytes: ids that are hexadecimal after a common prefix
//! are packed, incarnations are stored as differences from the earliest one, and factors take a byte.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD as BASE64};
use model::{BackendServerId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::learned::record::{Entry, MAX_ENTRIES, MAX_LOG_FACTOR, MAX_STORED_RUNS, PageRecord};

/// Version of the encoding.
const VERSION: u32 = 1;
/// Largest value that is decoded: [`MAX_ENTRIES`] entries with the longest ids, of 64 bytes, take less.
const MAX_BYTES: usize = 256 * 1024;
/// Longest id, and so the longest prefix of one: a false page must not make long ids of many short ones.
const MAX_ID_BYTES: usize = 64;
/// Unit of a stored logarithm, an eighth of the distance that makes a backend server fast or slow.
const LOG_UNIT: f64 = 0.02;
/// Separator of ids that are not packed; no id contains it.
const SEPARATOR: char = ' ';

/// Page as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct RawPage {
    v: u32,
    at: u64,
    stop_ms: u64,
    /// Common prefix of all ids.
    prefix: String,
    /// Bytes of each packed id; 0 if ids are not packed but separated.
    id_bytes: usize,
    ids: String,
    /// Earliest incarnation.
    born: u64,
    /// Bytes of each difference; 0 if no incarnation is known.
    born_bytes: usize,
    /// Differences plus 1; 0 stands for an unknown incarnation.
    incarnations: String,
    logs: String,
    /// One digit for each entry.
    runs: String,
}

/// The version alone, which every version of the encoding must have.
#[derive(Deserialize)]
struct VersionOnly {
    v: u32,
}

/// Decoded page, with the entries that were dropped.
#[derive(Debug)]
pub(super) struct DecodedPage {
    pub(super) record: PageRecord,
    /// Ids of the dropped entries, shortened to the length of valid ones, each with the reason.
    pub(super) dropped: Vec<(String, &'static str)>,
}

/// Encodes a page; entries beyond [`MAX_ENTRIES`] are left out.
pub(super) fn encode(record: &PageRecord) -> Vec<u8> {
    let entries = &record.entries[..record.entries.len().min(MAX_ENTRIES)];
    let ids: Vec<String> = entries.iter().map(|entry| entry.id.to_string()).collect();
    let prefix = common_prefix(&ids);
    let rests: Vec<&str> = ids.iter().map(|id| &id[prefix.len()..]).collect();
    let (id_bytes, packed_ids) = pack_ids(&rests);
    let (born, born_bytes, incarnations) = pack_incarnations(entries);
    let log = |entry: &Entry| (entry.log_factor.clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR) / LOG_UNIT).round() as i8;
    let logs: Vec<u8> = entries.iter().map(|entry| log(entry).to_be_bytes()[0]).collect();
    let runs = entries.iter().map(|entry| entry.runs.clamp(1, MAX_STORED_RUNS).to_string()).collect();
    let raw = RawPage {
        v: VERSION,
        at: record.written_ms,
        stop_ms: record.stop_ms,
        prefix,
        id_bytes,
        ids: packed_ids,
        born,
        born_bytes,
        incarnations,
        logs: BASE64.encode(logs),
        runs,
    };
    serde_json::to_vec(&raw).expect("our own types always serialize")
}

/// Decodes a page; the error is the reason for the log.
pub(super) fn decode(value: &[u8]) -> Result<DecodedPage, String> {
    if value.len() > MAX_BYTES {
        return Err(format!("too_large bytes={}", value.len()));
    }
    let undecodable = |e: serde_json::Error| format!("undecodable error={e}");
    let VersionOnly { v } = serde_json::from_slice(value).map_err(undecodable)?;
    if v != VERSION {
        return Err(format!("other_version version={v}"));
    }
    let raw: RawPage = serde_json::from_slice(value).map_err(undecodable)?;
    decode_columns(&raw).ok_or_else(|| "columns_differ".to_owned())
}

/// Decodes the entries; `None` if a column cannot be decoded or has another length than the others.
fn decode_columns(raw: &RawPage) -> Option<DecodedPage> {
    if raw.prefix.len() > MAX_ID_BYTES {
        return None;
    }
    let logs = BASE64.decode(&raw.logs).ok()?;
    let count = logs.len();
    let ids = unpack_ids(raw)?;
    let incarnations = unpack_incarnations(raw, count)?;
    let runs: Vec<u32> = raw.runs.chars().map(|digit| digit.to_digit(10)).collect::<Option<_>>()?;
    if count > MAX_ENTRIES || [ids.len(), incarnations.len(), runs.len()] != [count; 3] {
        return None;
    }
    let mut entries = Vec::with_capacity(count);
    let mut dropped = Vec::new();
    for (i, id) in ids.into_iter().enumerate() {
        let log_factor = f64::from(i8::from_be_bytes([logs[i]])) * LOG_UNIT;
        match check_entry(&id, incarnations[i], log_factor, runs[i]) {
            Ok(entry) => entries.push(entry),
            Err(why) => dropped.push((id.chars().take(MAX_ID_BYTES).collect(), why)),
        }
    }
    Some(DecodedPage { record: PageRecord { written_ms: raw.at, stop_ms: raw.stop_ms, entries }, dropped })
}

fn check_entry(id: &str, incarnation: Option<Incarnation>, log_factor: f64, runs: u32) -> Result<Entry, &'static str> {
    let id: BackendServerId = id.parse().map_err(|_| "id_invalid")?;
    // Rounding to the unit may exceed the bound by half a unit.
    if log_factor.abs() > MAX_LOG_FACTOR + LOG_UNIT / 2.0 {
        return Err("factor_out_of_bounds");
    }
    if !(1..=MAX_STORED_RUNS).contains(&runs) {
        return Err("runs_out_of_bounds");
    }
    Ok(Entry { id, incarnation, log_factor, runs })
}

/// Returns the common prefix of all ids, up to and with its last character that is no hexadecimal digit, so that
/// the rests of equally long ids remain so. No id is a prefix as a whole, since an empty rest could not be told from none.
fn common_prefix(ids: &[String]) -> String {
    let Some(first) = ids.first() else { return String::new() };
    let common = |id: &String| first.bytes().zip(id.bytes()).take_while(|(a, b)| a == b).count().min(id.len() - 1);
    let length = ids.iter().map(common).min().unwrap_or(0);
    let end = first[..length].rfind(|c| !is_hex(c)).map_or(0, |at| at + 1);
    first[..end].to_owned()
}

fn is_hex(c: char) -> bool {
    matches!(c, '0'..='9' | 'a'..='f')
}

/// Packs ids into hexadecimal bytes if they are such, of one even length; otherwise separates them. Returns the bytes
/// of each, 0 if they are separated, and the column.
fn pack_ids(rests: &[&str]) -> (usize, String) {
    let length = rests.first().map_or(0, |rest| rest.len());
    let fits = |rest: &&str| rest.len() == length && rest.chars().all(is_hex);
    if length == 0 || !length.is_multiple_of(2) || !rests.iter().all(fits) {
        return (0, rests.join(&SEPARATOR.to_string()));
    }
    let digits: Vec<u8> = rests.iter().flat_map(|rest| rest.chars()).filter_map(hex_digit).collect();
    let bytes: Vec<u8> = digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    (length / 2, BASE64.encode(bytes))
}

fn hex_digit(c: char) -> Option<u8> {
    c.to_digit(16).and_then(|digit| u8::try_from(digit).ok())
}

fn unpack_ids(raw: &RawPage) -> Option<Vec<String>> {
    if raw.id_bytes == 0 {
        let rests = raw.ids.split(SEPARATOR).filter(|rest| !rest.is_empty());
        return Some(rests.map(|rest| format!("{}{rest}", raw.prefix)).collect());
    }
    let bytes = BASE64.decode(&raw.ids).ok()?;
    if !bytes.len().is_multiple_of(raw.id_bytes) {
        return None;
    }
    let hex = |id: &[u8]| id.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    Some(bytes.chunks_exact(raw.id_bytes).map(|id| format!("{}{}", raw.prefix, hex(id))).collect())
}

/// Returns the earliest incarnation, the bytes of each difference from it, and the column of differences.
fn pack_incarnations(entries: &[Entry]) -> (u64, usize, String) {
    let known = || entries.iter().filter_map(|entry| entry.incarnation);
    let Some(Incarnation(born)) = known().min() else { return (0, 0, String::new()) };
    let difference = |entry: &Entry| entry.incarnation.map_or(0, |Incarnation(at)| (at - born).saturating_add(1));
    let largest = entries.iter().map(difference).max().unwrap_or(0);
    let width = size_of::<u64>() - largest.leading_zeros() as usize / 8;
    let bytes =
        entries.iter().flat_map(|entry| difference(entry).to_be_bytes().into_iter().skip(size_of::<u64>() - width));
    (born, width, BASE64.encode(bytes.collect::<Vec<u8>>()))
}

fn unpack_incarnations(raw: &RawPage, count: usize) -> Option<Vec<Option<Incarnation>>> {
    if raw.born_bytes == 0 {
        return Some(vec![None; count]);
    }
    let bytes = BASE64.decode(&raw.incarnations).ok()?;
    if raw.born_bytes > size_of::<u64>() || !bytes.len().is_multiple_of(raw.born_bytes) {
        return None;
    }
    let number = |digits: &[u8]| digits.iter().fold(0, |number: u64, byte| number << 8 | u64::from(*byte));
    let incarnation = |difference: u64| Some(Incarnation(raw.born.wrapping_add(difference.checked_sub(1)?)));
    Some(bytes.chunks_exact(raw.born_bytes).map(|digits| incarnation(number(digits))).collect())
}
