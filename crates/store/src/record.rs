//! Framing of records: length, checksums, content.
//!
//! The header has its own checksum. A corrupted length is thereby distinguished from a record that
//! a crash cut short.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::{Result, StoreError};

/// Length of a record's header in bytes: content length, content checksum, and checksum of these
/// two.
pub const HEADER_BYTES: usize = 12;

/// Encodes a value as a record at the end of a buffer.
///
/// # Errors
///
/// Fails if the value has no binary form or is longer than 4 GiB.
pub fn encode<T: Serialize>(value: &T, buffer: &mut Vec<u8>) -> Result<()> {
    let content = postcard::to_allocvec(value).map_err(|e| StoreError::Encode(e.to_string()))?;
    let length = u32::try_from(content.len()).map_err(|e| StoreError::Encode(e.to_string()))?;
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..8].copy_from_slice(&crc32fast::hash(&content).to_le_bytes());
    let header_checksum = crc32fast::hash(&header[..8]);
    header[8..].copy_from_slice(&header_checksum.to_le_bytes());
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(&content);
    Ok(())
}

/// Result of decoding a record at an offset of a file.
#[derive(Debug, PartialEq)]
pub enum DecodedRecord<T> {
    /// A complete record, and the offset after it.
    Complete(T, usize),
    /// The end of the file.
    EndOfFile,
    /// A record that a crash cut short: it reaches beyond the end of the file, or only zeroes are
    /// left.
    Torn,
    /// Content that the store never wrote; the text is the reason.
    Corrupted(&'static str),
}

/// Decodes the record at an offset.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> DecodedRecord<T> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return DecodedRecord::EndOfFile;
    }
    if rest.iter().all(|byte| *byte == 0) {
        return DecodedRecord::Torn;
    }
    let Some((header, rest)) = rest.split_at_checked(HEADER_BYTES) else {
        return DecodedRecord::Torn;
    };
    let read_u32 = |position: usize| {
        let bytes = header
            .get(position..position + 4)
            .and_then(|p| p.try_into().ok());
        u32::from_le_bytes(bytes.unwrap_or_default())
    };
    if crc32fast::hash(&header[..8]) != read_u32(8) {
        return DecodedRecord::Corrupted("the checksum of a record header does not match");
    }
    let length = read_u32(0) as usize;
    let Some(content) = rest.get(..length) else {
        return DecodedRecord::Torn;
    };
    if crc32fast::hash(content) != read_u32(4) {
        return DecodedRecord::Corrupted("the checksum of a record does not match");
    }
    match postcard::from_bytes(content) {
        Ok(value) => DecodedRecord::Complete(value, offset + HEADER_BYTES + length),
        Err(_) => DecodedRecord::Corrupted("a record can't be decoded"),
    }
}
