//! JSON answers and errors.

use ledger::verdict::TicketVerdict;
use serde::Serialize;
use serde_json::json;
use tide::{Response, StatusCode};

/// Value of the `retry-after` header of answers without a result, in seconds.
pub const RETRY_AFTER_SECONDS: &str = "1";

/// Returns an answer with a JSON body.
pub fn json_answer(status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    Response::builder(status)
        .body(text)
        .content_type("application/json")
        .build()
}

/// Returns an error with its reason in the field `error`.
pub fn error_answer(status: StatusCode, reason: &str) -> Response {
    json_answer(status, &json!({ "error": reason }))
}

/// Returns the error of a request that no quorum confirmed in time.
pub fn unconfirmed() -> Response {
    let reason = "no quorum confirmed this in time; ask again";
    let mut answer = error_answer(StatusCode::ServiceUnavailable, reason);
    answer.insert_header("retry-after", RETRY_AFTER_SECONDS);
    answer
}

/// Returns the answer to a submission. Without a verdict, it asks the operator to send the same
/// ticket again.
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
