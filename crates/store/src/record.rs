//! Framing of records: length, checksums, content.
//!
//! The head has its own checksum, so that a flipped length is told apart from a record that was
//! cut short by a crash.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::{Result, StoreError};

/// Bytes before a record's content: length, checksum of the content, checksum of the two.
pub const HEAD_BYTES: usize = 12;

/// Adds a value as a record to a buffer.
///
/// # Errors
///
/// Fails where the value has no binary form or is longer than 4 GiB.
pub fn encode<T: Serialize>(value: &T, buffer: &mut Vec<u8>) -> Result<()> {
    let content = postcard::to_allocvec(value).map_err(|e| StoreError::Encode(e.to_string()))?;
    let length = u32::try_from(content.len()).map_err(|e| StoreError::Encode(e.to_string()))?;
    let mut head = [0; HEAD_BYTES];
    head[..4].copy_from_slice(&length.to_le_bytes());
    head[4..8].copy_from_slice(&crc32fast::hash(&content).to_le_bytes());
    let check = crc32fast::hash(&head[..8]);
    head[8..].copy_from_slice(&check.to_le_bytes());
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(&content);
    Ok(())
}

/// What stands at an offset of a file.
#[derive(Debug, PartialEq)]
pub enum ReadRecord<T> {
    /// A whole record, and the offset after it.
    Whole(T, usize),
    /// The end of the file.
    End,
    /// A record that a crash cut short: nothing, or nothing but zeroes, follows it.
    Torn,
    /// Something that was never written.
    Damaged(&'static str),
}

/// Reads the record at an offset.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> ReadRecord<T> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return ReadRecord::End;
    }
    if rest.iter().all(|byte| *byte == 0) {
        return ReadRecord::Torn;
    }
    let Some((head, rest)) = rest.split_at_checked(HEAD_BYTES) else {
        return ReadRecord::Torn;
    };
    let number = |at: usize| {
        let part = head.get(at..at + 4).and_then(|p| p.try_into().ok());
        u32::from_le_bytes(part.unwrap_or_default())
    };
    if crc32fast::hash(&head[..8]) != number(8) {
        return ReadRecord::Damaged("the checksum of a record's head differs");
    }
    let length = number(0) as usize;
    let Some(content) = rest.get(..length) else {
        return ReadRecord::Torn;
    };
    if crc32fast::hash(content) != number(4) {
        return ReadRecord::Damaged("the checksum of a record differs");
    }
    match postcard::from_bytes(content) {
        Ok(value) => ReadRecord::Whole(value, offset + HEAD_BYTES + length),
        Err(_) => ReadRecord::Damaged("a record has an unknown form"),
    }
}
