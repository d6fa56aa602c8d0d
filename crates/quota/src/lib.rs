//! Request quotas of organisations over all entry hosts.
//!
//! Hosts report how many requests of each organisation arrived and were admitted. Control replicas add
//! these up and keep a token bucket for each organisation. While an organisation asks for more than its
//! quota, the replicas tell the hosts which fraction of its requests to admit. This crate does no input or
//! output; `docs/design/quotas.md` tells why it works like this.
//!
//! | module | holds |
//! |---|---|
//! | [`terms`] | quotas and the promise about them |
//! | [`message`] | what hosts and control replicas tell each other |
//! | [`decision`] | answer to a request for admission |
//! | [`gate`] | admission at an entry host |
//! | `account` | state of one organisation at an entry host |
//! | `contact` | how long ago a host heard of the quotas |
//! | [`register`] | reports and notices at a control replica |
//! | `ledger` | level and demand of one organisation over all hosts |
//! | `sums` | counts that control replicas exchange |
//! | `meter` | rates of events |

mod account;
mod contact;
pub mod decision;
pub mod gate;
mod ledger;
pub mod message;
mod meter;
pub mod register;
mod sums;
pub mod terms;
