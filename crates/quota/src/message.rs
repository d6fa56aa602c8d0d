//! What entry hosts and control replicas tell each other about quotas.

use serde::{Deserialize, Serialize};

use crate::terms::OrganisationDigest;

/// Requests of an organisation at an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// Organisation.
    pub organisation: OrganisationDigest,
    /// Requests that arrived.
    pub asked: u32,
    /// Requests that were admitted, less those that were refunded.
    pub admitted: i32,
}

/// Report of an entry host: the requests since the latest report that a control replica confirmed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Requests of the organisations that made any.
    pub counts: Vec<QuotaCount>,
    /// The urgent notices that the host has.
    pub mark: QuotaMark,
}

/// Identifies the urgent notices that an entry host has from one run of a control replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaMark {
    /// Run of the replica.
    pub epoch: u64,
    /// Number of the latest urgent notice.
    pub sequence: u64,
}

/// What entry hosts are to admit of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaNotice {
    /// Organisation.
    pub organisation: OrganisationDigest,
    /// Fraction of its requests to admit.
    pub fraction: f32,
    /// Requests a second that all hosts together should then admit.
    pub rate: f32,
}

/// Notices of a control replica on all rationed organisations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaNotices {
    /// The rationed organisations; all others are not rationed.
    pub rationed: Vec<QuotaNotice>,
    /// Position of the caller after these notices.
    pub mark: QuotaMark,
}

/// Requests of an organisation that entry hosts reported to a replica since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSum {
    /// Organisation.
    pub organisation: OrganisationDigest,
    /// Requests that arrived.
    pub asked: u64,
    /// Requests that were admitted, less those that were refunded.
    pub admitted: i64,
}

/// Sums of a replica, for the other replicas. Sums that come late, twice or not at all do no harm, as each
/// covers all earlier ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSums {
    /// Run of the replica.
    pub epoch: u64,
    /// Organisations whose sums changed recently.
    pub sums: Vec<QuotaSum>,
}
