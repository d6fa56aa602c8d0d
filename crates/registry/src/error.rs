//! Why an announcement is refused.

use quick_error::quick_error;

quick_error! {
    /// Faults of an announcement.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RegistryError {
        /// The table of backend servers is full.
        TableFull {
            display("the table of backend servers is full; announce again later")
        }
        /// A later start of the same backend server has announced itself.
        OldIncarnation(known: u64) {
            display("incarnation {} of this backend server has announced itself already", known)
        }
    }
}
