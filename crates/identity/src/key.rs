//! Digests of keys.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::{Choice, ConstantTimeEq};

/// Secret that the digests of one configuration share. Without it, a digest can't be compared with those
/// of guessed keys.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeySalt([u8; KeySalt::BYTES]);

impl KeySalt {
    /// Length in bytes.
    pub const BYTES: usize = 16;
}

impl From<[u8; KeySalt::BYTES]> for KeySalt {
    fn from(bytes: [u8; KeySalt::BYTES]) -> Self {
        Self(bytes)
    }
}

impl std::fmt::Debug for KeySalt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeySalt(secret)")
    }
}

/// Salted digest of a key: the first half of its HMAC-SHA-256.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; KeyDigest::BYTES]);

impl KeyDigest {
    /// Length in bytes.
    pub const BYTES: usize = 16;

    /// Returns the digest of a key.
    pub fn new(salt: &KeySalt, key: &[u8]) -> Self {
        // HMAC takes secrets of any length.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&salt.0) else {
            unreachable!("HMAC refused a secret of {} bytes", KeySalt::BYTES)
        };
        mac.update(key);
        let bytes = mac.finalize().into_bytes();
        let mut digest = [0; Self::BYTES];
        digest.copy_from_slice(&bytes[..Self::BYTES]);
        Self(digest)
    }

    /// Returns the first bytes, by which a directory is indexed.
    pub(crate) fn prefix(&self) -> [u8; 4] {
        [self.0[0], self.0[1], self.0[2], self.0[3]]
    }
}

impl ConstantTimeEq for KeyDigest {
    fn ct_eq(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}
