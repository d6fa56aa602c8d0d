//! Conversion between claim records of idempotency keys and wire messages.

use std::time::Duration;

use claims::record::{AttemptId, ClaimAnswer, ClaimRecord, ClaimState, KeptAnswer, RunOutcome};
use claims::selector::HostList;
use tonic::Status;
use wire::v1;

use crate::convert;

/// Encodes an attempt id.
pub fn encode_attempt(attempt: &AttemptId) -> v1::AttemptId {
    v1::AttemptId {
        host: attempt.host.clone(),
        number: attempt.number,
    }
}

/// Decodes an attempt id.
///
/// # Errors
///
/// Fails if the id is missing.
pub fn decode_attempt(message: Option<v1::AttemptId>) -> Result<AttemptId, Status> {
    let message = message.ok_or_else(|| Status::invalid_argument("attempt: it is missing"))?;
    Ok(AttemptId {
        host: message.host,
        number: message.number,
    })
}

/// Encodes a claim record.
pub fn encode_record(record: ClaimRecord) -> v1::ClaimRecord {
    let (state, answer) = encode_state(record.state);
    v1::ClaimRecord {
        key: record.key,
        request: record.request,
        holders: record.holders.iter().map(encode_attempt).collect(),
        state: state.into(),
        age_ms: convert::millis(record.age),
        answer,
    }
}

/// Decodes a claim record.
///
/// # Errors
///
/// Fails if the state is not one of a stored record: claimed, answered or unknown.
pub fn decode_record(message: v1::ClaimRecord) -> Result<ClaimRecord, Status> {
    let holders = message.holders.into_iter().map(|holder| AttemptId {
        host: holder.host,
        number: holder.number,
    });
    let state = match v1::ClaimState::try_from(message.state) {
        Ok(v1::ClaimState::Claimed) => ClaimState::Claimed,
        Ok(v1::ClaimState::Answered) => {
            ClaimState::Answered(decode_answer(message.answer.unwrap_or_default()))
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

/// Encodes a keeper's answer to a claim.
pub fn encode_reply(answer: ClaimAnswer) -> v1::ClaimReply {
    let (answer, record) = match answer {
        ClaimAnswer::Granted => (v1::ClaimAnswer::Granted, None),
        ClaimAnswer::Held(record) => (v1::ClaimAnswer::Held, Some(encode_record(record))),
        ClaimAnswer::Recovering => (v1::ClaimAnswer::Recovering, None),
        ClaimAnswer::Full => (v1::ClaimAnswer::Full, None),
    };
    v1::ClaimReply {
        answer: answer.into(),
        record,
    }
}

/// Decodes a keeper's answer to a claim.
///
/// # Errors
///
/// Fails if the answer is unknown, or if it is `Held` and the record is missing or invalid.
pub fn decode_reply(message: v1::ClaimReply) -> Result<ClaimAnswer, Status> {
    match v1::ClaimAnswer::try_from(message.answer) {
        Ok(v1::ClaimAnswer::Granted) => Ok(ClaimAnswer::Granted),
        Ok(v1::ClaimAnswer::Held) => {
            let record = message
                .record
                .ok_or_else(|| Status::invalid_argument("record: it is missing"))?;
            Ok(ClaimAnswer::Held(decode_record(record)?))
        }
        Ok(v1::ClaimAnswer::Recovering) => Ok(ClaimAnswer::Recovering),
        Ok(v1::ClaimAnswer::Full) => Ok(ClaimAnswer::Full),
        Ok(v1::ClaimAnswer::Unspecified) | Err(_) => {
            Err(Status::invalid_argument("answer: it is unknown"))
        }
    }
}

/// Encodes the outcome of a run as a record of its key.
pub fn encode_outcome(
    key: &str,
    request: u64,
    attempt: &AttemptId,
    outcome: RunOutcome,
) -> v1::ClaimRecord {
    let (state, answer) = match outcome {
        RunOutcome::Answered(answer) => encode_state(ClaimState::Answered(answer)),
        RunOutcome::NotRun => (v1::ClaimState::NotRun, None),
        RunOutcome::Unknown => encode_state(ClaimState::Unknown),
    };
    v1::ClaimRecord {
        key: key.to_string(),
        request,
        holders: vec![encode_attempt(attempt)],
        state: state.into(),
        age_ms: 0,
        answer,
    }
}

/// Decodes the outcome of a run.
///
/// # Errors
///
/// Fails if the state is not the outcome of a run: answered, not run or unknown.
pub fn decode_outcome(message: &v1::ClaimRecord) -> Result<RunOutcome, Status> {
    match v1::ClaimState::try_from(message.state) {
        Ok(v1::ClaimState::Answered) => {
            let answer = message.answer.clone().unwrap_or_default();
            Ok(RunOutcome::Answered(decode_answer(answer)))
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

/// Encodes a list of entry hosts.
pub fn encode_list(list: HostList) -> v1::KeeperList {
    v1::KeeperList {
        hosts: list.hosts.into_iter().collect(),
        remaining_ms: convert::millis(list.remaining),
    }
}

/// Decodes a list of entry hosts.
pub fn decode_list(message: v1::KeeperList) -> HostList {
    HostList {
        hosts: message.hosts.into_iter().collect(),
        remaining: Duration::from_millis(message.remaining_ms),
    }
}

fn encode_state(state: ClaimState) -> (v1::ClaimState, Option<v1::KeptAnswer>) {
    match state {
        ClaimState::Claimed => (v1::ClaimState::Claimed, None),
        ClaimState::Answered(answer) => (v1::ClaimState::Answered, Some(encode_answer(answer))),
        ClaimState::Unknown => (v1::ClaimState::Unknown, None),
    }
}

fn encode_answer(answer: KeptAnswer) -> v1::KeptAnswer {
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

fn decode_answer(message: v1::KeptAnswer) -> KeptAnswer {
    let headers = message.headers.into_iter();
    KeptAnswer {
        status: u16::try_from(message.status).unwrap_or_default(),
        headers: headers
            .map(|header| (header.name, header.value.to_vec()))
            .collect(),
        body: message.body.to_vec(),
    }
}
