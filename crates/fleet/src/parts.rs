//! A configuration in parts of bounded size, for entry hosts that have none on which a difference builds.
//!
//! The parts are those of the encoded configuration from which [`SiteStamp`] is made, so that parts of
//! several control replicas fit together, and the stamp shows whether they give the configuration.

use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::access::AccessPolicy;
use crate::delta::{DeltaError, SiteCopy, SiteDelta, SiteStamp};
use crate::ids;
use crate::site::SiteConfig;

/// Largest number of bytes in a part, and of an encoded configuration that goes out in one piece. A slow
/// link carries them in a quarter of a second.
pub const MAX_PART_BYTES: usize = 64 << 10;

quick_error! {
    /// Reason why parts don't give a configuration.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum PartError {
        /// All parts are there, and aren't those of the configuration that they name.
        OtherContent(version: ids::SiteVersion) {
            display("the parts don't give version {version}")
        }
    }
}

/// Position of an entry host in the parts of a configuration. The default is that of a host without parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartMark {
    /// Configuration that the host collects.
    pub stamp: SiteStamp,
    /// Encoded bytes that it has, from the start.
    pub received: usize,
}

/// Part of an encoded configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SitePart {
    /// The configuration.
    pub stamp: SiteStamp,
    /// Encoded length of the configuration.
    pub length: usize,
    /// Position of the first byte.
    pub offset: usize,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// An encoded configuration, cut once for all entry hosts.
#[derive(Debug)]
pub struct EncodedSite {
    stamp: SiteStamp,
    parts: Vec<Arc<SitePart>>,
}

impl EncodedSite {
    /// Cuts an encoded configuration into parts.
    pub fn new(stamp: SiteStamp, encoded: &[u8]) -> Self {
        let parts = encoded.chunks(MAX_PART_BYTES).enumerate();
        let parts = parts.map(|(index, bytes)| {
            Arc::new(SitePart {
                stamp,
                length: encoded.len(),
                offset: index * MAX_PART_BYTES,
                bytes: bytes.to_vec(),
            })
        });
        Self {
            stamp,
            parts: parts.collect(),
        }
    }

    /// Returns what identifies the configuration.
    pub fn stamp(&self) -> SiteStamp {
        self.stamp
    }

    /// Returns the first part.
    pub fn first(&self) -> Option<Arc<SitePart>> {
        self.parts.first().cloned()
    }

    /// Returns the part that an entry host lacks next; `None` where it collects another configuration, or
    /// has all parts.
    pub fn part_after(&self, mark: PartMark) -> Option<Arc<SitePart>> {
        let mut parts = self.parts.iter();
        let next = parts.find(|part| part.stamp == mark.stamp && part.offset == mark.received);
        next.cloned()
    }
}

/// A configuration that an entry host collects, and that is not in force.
#[derive(Debug, Default)]
pub enum PartCollector {
    /// There are no parts.
    #[default]
    Empty,
    /// Parts are missing.
    Partial {
        /// Configuration that is collected.
        stamp: SiteStamp,
        /// Its encoded bytes, from the start.
        encoded: Vec<u8>,
    },
    /// The configuration is complete.
    Complete(SiteStamp, SiteCopy),
}

impl PartCollector {
    /// Returns the position after the last part.
    pub fn mark(&self) -> PartMark {
        match self {
            Self::Partial { stamp, encoded } => PartMark {
                stamp: *stamp,
                received: encoded.len(),
            },
            Self::Empty | Self::Complete(..) => PartMark::default(),
        }
    }

    /// Returns the configuration, once it is complete, with what identifies it.
    pub fn complete(&self) -> Option<(SiteStamp, &SiteCopy)> {
        match self {
            Self::Complete(stamp, copy) => Some((*stamp, copy)),
            Self::Empty | Self::Partial { .. } => None,
        }
    }

    /// Removes the parts.
    pub fn clear(&mut self) {
        *self = Self::Empty;
    }

    /// Adds a part. The first part of another configuration replaces what was collected; any other part
    /// that isn't the next one is ignored.
    ///
    /// # Errors
    ///
    /// Fails where all parts are there and don't give the configuration. They are then removed.
    pub fn add(&mut self, part: &SitePart) -> Result<(), PartError> {
        let mark = self.mark();
        let is_next = part.stamp == mark.stamp && part.offset == mark.received;
        let is_known = match self {
            Self::Complete(stamp, _) => *stamp == part.stamp,
            Self::Empty | Self::Partial { .. } => part.stamp == mark.stamp,
        };
        if part.bytes.is_empty() || !is_next && (is_known || part.offset > 0) {
            return Ok(());
        }
        let mut encoded = match std::mem::take(self) {
            Self::Partial { encoded, .. } if is_next => encoded,
            _ => Vec::new(),
        };
        encoded.extend_from_slice(&part.bytes);
        let stamp = part.stamp;
        if encoded.len() < part.length {
            *self = Self::Partial { stamp, encoded };
            return Ok(());
        }
        let copy = decode(stamp, &encoded).ok_or(PartError::OtherContent(stamp.version))?;
        *self = Self::Complete(stamp, copy);
        Ok(())
    }

    /// Applies differences to the complete configuration.
    ///
    /// # Errors
    ///
    /// Fails where it isn't complete, or they build on another one.
    pub fn advance(&mut self, deltas: &[Arc<SiteDelta>]) -> Result<(), DeltaError> {
        let Some((base, copy)) = self.complete() else {
            return Err(DeltaError::OtherBase(
                0,
                deltas.first().map_or(0, |delta| delta.base().version),
            ));
        };
        let copy = SiteDelta::apply_all(deltas, copy, base)?;
        let stamp = deltas.last().map_or(base, |delta| delta.result());
        *self = Self::Complete(stamp, copy);
        Ok(())
    }
}

fn decode(stamp: SiteStamp, encoded: &[u8]) -> Option<SiteCopy> {
    if SiteStamp::new(stamp.version, encoded) != stamp {
        return None;
    }
    let (site, access): (Arc<SiteConfig>, Arc<AccessPolicy>) =
        postcard::from_bytes(encoded).ok()?;
    Some(SiteCopy {
        version: stamp.version,
        site,
        access,
    })
}
