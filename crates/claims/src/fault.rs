//! Known faults that tests plant to show that they would find them.

/// A protection that is left out.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PlantedFault {
    /// A keeper that restarted grants keys at once.
    GrantBeforeRecovery,
    /// A keeper asks for records at once after its start, while attempts from before still run.
    RecoverAtOnce,
    /// One grant is enough.
    GrantByOne,
    /// A claim stays in force after its attempt's time.
    GrantAfterDeadline,
    /// A host that starts claims keys without knowing which lists of hosts were in force.
    ForgetFormerLists,
    /// A key is freed however its run ended.
    FreeAfterRun,
}
