//! Answers in JSON.

use ledger::verdict::TicketVerdict;
use serde::Serialize;
use serde_json::json;
use tide::{Response, StatusCode};

/// Seconds after which a caller without an answer is told to come back.
pub const RETRY_AFTER_SECONDS: &str = "1";

/// Returns an answer with a JSON body.
pub fn json_answer(status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    Response::builder(status)
        .body(text)
        .content_type("application/json")
        .build()
}

/// Returns a refusal with its reason.
pub fn refusal(status: StatusCode, reason: &str) -> Response {
    json_answer(status, &json!({ "error": reason }))
}

/// Returns the answer where no quorum confirms in time.
pub fn unconfirmed() -> Response {
    let reason = "no quorum confirmed this in time; ask again";
    let mut answer = refusal(StatusCode::ServiceUnavailable, reason);
    answer.insert_header("retry-after", RETRY_AFTER_SECONDS);
    answer
}

/// Returns the answer to a submission; without a verdict the ticket is to be sent again.
pub fn verdict_answer(verdict: Option<&TicketVerdict>) -> Response {
    let Some(verdict) = verdict else {
        let reason = "the verdict is not known; send the same ticket again";
        let body = json!({ "verdict": "unknown", "error": reason });
        let mut answer = json_answer(StatusCode::ServiceUnavailable, &body);
        answer.insert_header("retry-after", RETRY_AFTER_SECONDS);
        return answer;
    };
    let status = match verdict {
        TicketVerdict::Accepted { .. } => StatusCode::Ok,
        TicketVerdict::Conflict { .. } | TicketVerdict::Superseded { .. } => StatusCode::Conflict,
        TicketVerdict::Invalid { .. } => StatusCode::UnprocessableEntity,
        TicketVerdict::TooOld { .. } => StatusCode::Gone,
    };
    json_answer(status, verdict)
}
