//! Announced backend servers, their health, load and leaving.
