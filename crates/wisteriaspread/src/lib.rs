//! Global traffic steering system.
