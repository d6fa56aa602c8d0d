//! Stand-in backend servers and load tool, for proof only.
