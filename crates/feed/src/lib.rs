//! Holds what is in force and streams it between processes.
//!
//! Every control replica and entry host has one [`holder::StateHolder`]. A control replica fills
//! it from its log; an entry host fills it with a [`watcher::FeedWatcher`], which follows one
//! source at a time: a control replica or another entry host. Both serve it on with a
//! [`service::FeedService`], so one working path to anybody fresh is enough.
//!
//! | module | holds |
//! |---|---|
//! | [`view`] | one immutable view: state, freshness stamp, confirmation |
//! | [`holder`] | the present view; only ever replaced by a newer one |
//! | [`service`] | serves the view to watchers |
//! | [`watcher`] | follows a source and replaces one that went silent |
//! | [`plan`] | which sources a host follows |

pub mod holder;
pub mod plan;
pub mod service;
pub mod view;
pub mod watcher;
