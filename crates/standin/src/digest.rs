//! How a caller knows the answer to its own request.
//!
//! A stand-in fills its answer with the digest of the request, so that an answer to another
//! request, or a part of one, can't pass for the whole own one.

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// Header with the digest of the request that an answer belongs to.
pub const DIGEST_HEADER: &str = "standin-digest";

/// Header with the length of the whole answer's body, in bytes.
pub const LENGTH_HEADER: &str = "standin-length";

/// Header with the address of the server that answered.
pub const SERVER_HEADER: &str = "standin-server";

/// Header by which the load tool names the zone that a request reaches the servers from.
pub const FROM_HEADER: &str = "standin-from-zone";

/// Header by which the load tool marks an idempotent request whose runs are counted.
pub const MARK_HEADER: &str = "standin-mark";

/// Returns the digest of a request; the prefix `/s/{service}` of its path doesn't count.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(method.as_bytes());
    digest.update(b" ");
    digest.update(path_tail(path).as_bytes());
    digest.update(b" ");
    digest.update(body);
    digest.digest()
}

/// Returns the body of the answer to a request: its digest over and over.
pub fn answer_body(digest: u64, length: usize) -> Bytes {
    let unit = format!("{digest:016x}\n");
    unit.bytes().cycle().take(length).collect()
}

fn path_tail(path: &str) -> &str {
    let Some(rest) = path.strip_prefix("/s/") else {
        return path;
    };
    rest.find('/').map_or("", |start| &rest[start..])
}
