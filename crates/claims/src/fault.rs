//! Faults that tests inject to prove that their checks detect them.

/// A safety mechanism that is disabled.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InjectedFault {
    /// A restarted keeper grants keys before it has recovered its records.
    GrantBeforeRecovery,
    /// A restarted keeper fetches records immediately, while attempts from before the restart can
    /// still be granted elsewhere.
    RecoverAtOnce,
    /// One grant counts as a majority.
    GrantByOne,
    /// An attempt may be granted after its deadline.
    GrantAfterDeadline,
    /// A restarted host claims keys without knowing the former host lists.
    ForgetFormerLists,
    /// A key is released whatever the outcome of its run.
    FreeAfterRun,
}
