//! The organisation of a key.

use std::collections::HashMap;

use subtle::ConstantTimeEq;

use crate::key::{KeyDigest, KeySalt};

/// Index of an organisation in the configuration.
pub type OrganisationIndex = u32;

/// Digests of the keys of all organisations.
#[derive(Debug, Default)]
pub struct KeyDirectory {
    salt: KeySalt,
    /// Digests with their organisations, by the first bytes of the digest.
    entries: HashMap<[u8; 4], Vec<(KeyDigest, OrganisationIndex)>>,
}

impl KeyDirectory {
    /// Creates a directory of digests that were made with `salt`.
    pub fn new(
        salt: KeySalt,
        digests: impl IntoIterator<Item = (KeyDigest, OrganisationIndex)>,
    ) -> Self {
        let mut entries: HashMap<_, Vec<_>> = HashMap::new();
        for (digest, organisation) in digests {
            let bucket = entries.entry(digest.prefix()).or_default();
            bucket.push((digest, organisation));
        }
        Self { salt, entries }
    }

    /// Returns the organisation that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<OrganisationIndex> {
        let digest = KeyDigest::new(&self.salt, key);
        let bucket = self.entries.get(&digest.prefix())?;
        let found = bucket
            .iter()
            .find(|(known, _)| bool::from(known.ct_eq(&digest)));
        found.map(|(_, organisation)| *organisation)
    }
}
