//! Digests by which a caller recognises the complete answer to its own request.
//!
//! A stand-in fills the body of its answer with the digest of the request. The caller computes the
//! same digest, and so detects an answer to another request and a truncated answer.

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// Header with the digest of the request that an answer belongs to.
pub const DIGEST_HEADER: &str = "standin-digest";

/// Header with the length of the complete answer's body, in bytes.
pub const LENGTH_HEADER: &str = "standin-length";

/// Header with the address of the server that answered.
pub const SERVER_HEADER: &str = "standin-server";

/// Header with the availability zone from which a request reaches the servers. The load tool sets
/// it, and the stand-ins derive the network delay from it.
pub const FROM_HEADER: &str = "standin-from-zone";

/// Header that makes the stand-ins count the executions of an idempotent request without an
/// idempotency key. Its value identifies the request in the counts.
pub const MARK_HEADER: &str = "standin-mark";

/// Returns the digest of a request, without the prefix `/s/{service}` of its path.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(method.as_bytes());
    digest.update(b" ");
    digest.update(path_tail(path).as_bytes());
    digest.update(b" ");
    digest.update(body);
    digest.digest()
}

/// Returns the body of the answer to a request: its digest, repeated up to the given length.
pub fn answer_body(digest: u64, length: usize) -> Bytes {
    let unit = format!("{digest:016x}\n");
    unit.bytes().cycle().take(length).collect()
}

/// Returns the path without the prefix `/s/{service}`.
fn path_tail(path: &str) -> &str {
    let Some(rest) = path.strip_prefix("/s/") else {
        return path;
    };
    rest.find('/').map_or("", |start| &rest[start..])
}
