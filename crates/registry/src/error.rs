//! Error of an announcement.

use quick_error::quick_error;

quick_error! {
    /// Reason why an announcement is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RegistryError {
        /// The registry has the maximum number of backend servers.
        TableFull {
            display("the table of backend servers is full; announce again later")
        }
        /// The announcement is of an earlier incarnation than the known one.
        OldIncarnation(known: u64) {
            display("incarnation {} of this backend server has announced itself already", known)
        }
    }
}
