//! Records of idempotency keys as wire messages and back.

use std::time::Duration;

use claims::record::{AttemptId, ClaimAnswer, ClaimRecord, ClaimState, KeptAnswer, RunOutcome};
use claims::selector::HostList;
use tonic::Status;
use wire::v1;

use crate::convert;

/// Writes an attempt.
pub fn attempt_to(attempt: &AttemptId) -> v1::AttemptId {
    v1::AttemptId {
        host: attempt.host.clone(),
        number: attempt.number,
    }
}

/// Reads an attempt.
///
/// # Errors
///
/// Refuses a message without one.
pub fn attempt_from(message: Option<v1::AttemptId>) -> Result<AttemptId, Status> {
    let message = message.ok_or_else(|| Status::invalid_argument("attempt: it is missing"))?;
    Ok(AttemptId {
        host: message.host,
        number: message.number,
    })
}

/// Writes a record.
pub fn record_to(record: ClaimRecord) -> v1::ClaimRecord {
    let (state, answer) = state_to(record.state);
    v1::ClaimRecord {
        key: record.key,
        request: record.request,
        holders: record.holders.iter().map(attempt_to).collect(),
        state: state.into(),
        age_ms: convert::millis(record.age),
        answer,
    }
}

/// Reads a record.
///
/// # Errors
///
/// Refuses a record whose state is none.
pub fn record_from(message: v1::ClaimRecord) -> Result<ClaimRecord, Status> {
    let holders = message.holders.into_iter().map(|holder| AttemptId {
        host: holder.host,
        number: holder.number,
    });
    let state = match v1::ClaimState::try_from(message.state) {
        Ok(v1::ClaimState::Claimed) => ClaimState::Claimed,
        Ok(v1::ClaimState::Answered) => {
            ClaimState::Answered(answer_from(message.answer.unwrap_or_default()))
        }
        Ok(v1::ClaimState::Unknown) => ClaimState::Unknown,
        Ok(v1::ClaimState::NotRun | v1::ClaimState::Unspecified) | Err(_) => {
            return Err(Status::invalid_argument(format!(
                "state: {} is not allowed: claimed, answered or unknown",
                message.state
            )));
        }
    };
    Ok(ClaimRecord {
        key: message.key,
        request: message.request,
        holders: holders.collect(),
        state,
        age: Duration::from_millis(message.age_ms),
    })
}

/// Writes a keeper's answer to a claim.
pub fn reply_to(answer: ClaimAnswer) -> v1::ClaimReply {
    let (answer, record) = match answer {
        ClaimAnswer::Granted => (v1::ClaimAnswer::Granted, None),
        ClaimAnswer::Held(record) => (v1::ClaimAnswer::Held, Some(record_to(record))),
        ClaimAnswer::Recovering => (v1::ClaimAnswer::Recovering, None),
        ClaimAnswer::Full => (v1::ClaimAnswer::Full, None),
    };
    v1::ClaimReply {
        answer: answer.into(),
        record,
    }
}

/// Reads a keeper's answer to a claim.
///
/// # Errors
///
/// Refuses an answer that is none, or that is held without a record.
pub fn reply_from(message: v1::ClaimReply) -> Result<ClaimAnswer, Status> {
    match v1::ClaimAnswer::try_from(message.answer) {
        Ok(v1::ClaimAnswer::Granted) => Ok(ClaimAnswer::Granted),
        Ok(v1::ClaimAnswer::Held) => {
            let record = message
                .record
                .ok_or_else(|| Status::invalid_argument("record: it is missing"))?;
            Ok(ClaimAnswer::Held(record_from(record)?))
        }
        Ok(v1::ClaimAnswer::Recovering) => Ok(ClaimAnswer::Recovering),
        Ok(v1::ClaimAnswer::Full) => Ok(ClaimAnswer::Full),
        Ok(v1::ClaimAnswer::Unspecified) | Err(_) => {
            Err(Status::invalid_argument("answer: it is unknown"))
        }
    }
}

/// Writes how a run ended, as a record of its key.
pub fn end_to(key: &str, request: u64, attempt: &AttemptId, end: RunOutcome) -> v1::ClaimRecord {
    let (state, answer) = match end {
        RunOutcome::Answered(answer) => state_to(ClaimState::Answered(answer)),
        RunOutcome::NotRun => (v1::ClaimState::NotRun, None),
        RunOutcome::Unknown => state_to(ClaimState::Unknown),
    };
    v1::ClaimRecord {
        key: key.to_string(),
        request,
        holders: vec![attempt_to(attempt)],
        state: state.into(),
        age_ms: 0,
        answer,
    }
}

/// Reads how a run ended.
///
/// # Errors
///
/// Refuses a state in which no run ends.
pub fn end_from(message: &v1::ClaimRecord) -> Result<RunOutcome, Status> {
    match v1::ClaimState::try_from(message.state) {
        Ok(v1::ClaimState::Answered) => {
            let answer = message.answer.clone().unwrap_or_default();
            Ok(RunOutcome::Answered(answer_from(answer)))
        }
        Ok(v1::ClaimState::NotRun) => Ok(RunOutcome::NotRun),
        Ok(v1::ClaimState::Unknown) => Ok(RunOutcome::Unknown),
        Ok(v1::ClaimState::Claimed | v1::ClaimState::Unspecified) | Err(_) => {
            Err(Status::invalid_argument(format!(
                "state: {} is not allowed: answered, not run or unknown",
                message.state
            )))
        }
    }
}

/// Writes a list of entry hosts.
pub fn list_to(list: HostList) -> v1::KeeperList {
    v1::KeeperList {
        hosts: list.hosts.into_iter().collect(),
        remaining_ms: convert::millis(list.remaining),
    }
}

/// Reads a list of entry hosts.
pub fn list_from(message: v1::KeeperList) -> HostList {
    HostList {
        hosts: message.hosts.into_iter().collect(),
        remaining: Duration::from_millis(message.remaining_ms),
    }
}

fn state_to(state: ClaimState) -> (v1::ClaimState, Option<v1::KeptAnswer>) {
    match state {
        ClaimState::Claimed => (v1::ClaimState::Claimed, None),
        ClaimState::Answered(answer) => (v1::ClaimState::Answered, Some(answer_to(answer))),
        ClaimState::Unknown => (v1::ClaimState::Unknown, None),
    }
}

fn answer_to(answer: KeptAnswer) -> v1::KeptAnswer {
    let headers = answer.headers.into_iter().map(|(name, value)| v1::Header {
        name,
        value: value.into(),
    });
    v1::KeptAnswer {
        status: u32::from(answer.status),
        headers: headers.collect(),
        body: answer.body.into(),
    }
}

fn answer_from(message: v1::KeptAnswer) -> KeptAnswer {
    let headers = message.headers.into_iter();
    KeptAnswer {
        status: u16::try_from(message.status).unwrap_or_default(),
        headers: headers
            .map(|header| (header.name, header.value.to_vec()))
            .collect(),
        body: message.body.to_vec(),
    }
}
