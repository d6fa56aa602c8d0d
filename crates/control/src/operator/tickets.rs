//! Handlers that submit tickets and read verdicts.

use ledger::verdict::TicketVerdict;
use model::fault::InputFault;
use model::ids;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use serde::Deserialize;
use tide::{Request, StatusCode};

use crate::call::{CoreCall, TicketLookup};
use crate::operator::answers;
use crate::operator::routes::OperatorContext;

/// Most verdicts in one answer.
const MAX_LIST_LIMIT: usize = 1_000;

/// Most verdicts in one answer where the query gives no limit.
const DEFAULT_LIST_LIMIT: usize = 100;

/// Answers `PUT /v1/tickets/{number}`: submits a ticket in TOML or JSON and returns its verdict.
pub(crate) async fn submit(mut request: Request<OperatorContext>) -> tide::Result {
    let body = request.body_bytes().await?;
    let ticket = match read_ticket(&request, &body) {
        Ok(ticket) => ticket,
        Err(faults) => return Ok(answers::json_answer(StatusCode::BadRequest, &faults)),
    };
    let verdict = request.state().leader_client.submit(&ticket).await;
    Ok(answers::verdict_answer(verdict.as_ref()))
}

/// Answers `GET /v1/tickets/{number}`: the verdict on a ticket, read linearizably. A number below the
/// kept verdicts gets the verdict that a new ticket with that number would get.
pub(crate) async fn show(request: Request<OperatorContext>) -> tide::Result {
    let number = match path_number(&request) {
        Ok(number) => number,
        Err(fault) => return Ok(answers::json_answer(StatusCode::BadRequest, &[fault])),
    };
    let context = request.state();
    if !context.leader_client.confirm_read().await {
        return Ok(answers::unconfirmed());
    }
    let call = |reply| CoreCall::Ticket { number, reply };
    Ok(match context.core.ask(call).await {
        Some(TicketLookup::Known(ticket)) => answers::json_answer(StatusCode::Ok, &ticket),
        Some(TicketLookup::Open) => {
            answers::error_answer(StatusCode::NotFound, "no ticket has this number")
        }
        Some(TicketLookup::TooOld { lowest }) => {
            answers::verdict_answer(Some(&TicketVerdict::TooOld { lowest }))
        }
        None => answers::unconfirmed(),
    })
}

/// Answers `GET /v1/tickets`: the verdicts on the highest numbers, read linearizably.
pub(crate) async fn list(request: Request<OperatorContext>) -> tide::Result {
    let limit = match query_limit(&request) {
        Ok(limit) => limit,
        Err(fault) => return Ok(answers::json_answer(StatusCode::BadRequest, &[fault])),
    };
    let context = request.state();
    if !context.leader_client.confirm_read().await {
        return Ok(answers::unconfirmed());
    }
    let call = |reply| CoreCall::Tickets { limit, reply };
    Ok(match context.core.ask(call).await {
        Some(tickets) => answers::json_answer(StatusCode::Ok, &tickets),
        None => answers::unconfirmed(),
    })
}

/// Parses and checks the ticket in a request; its number must be the one in the path.
fn read_ticket(
    request: &Request<OperatorContext>,
    body: &[u8],
) -> Result<ChangeTicket, Vec<InputFault>> {
    let number = path_number(request).map_err(|fault| vec![fault])?;
    let toml = request
        .content_type()
        .is_some_and(|mime| mime.essence() == "application/toml");
    let raw = if toml {
        let text = std::str::from_utf8(body)
            .map_err(|e| vec![InputFault::new("ticket", e, "a ticket in TOML, in UTF-8")])?;
        RawTicket::from_toml(text)
    } else {
        RawTicket::from_json(body)
    };
    let raw = raw.map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    if raw.number != number {
        let allowed = format!("the number in the path, {number}");
        faults.push(InputFault::new("number", raw.number, allowed));
    }
    match ChangeTicket::try_from(raw) {
        Ok(ticket) if faults.is_empty() => Ok(ticket),
        Ok(_) => Err(faults),
        Err(more) => {
            faults.extend(more);
            Err(faults)
        }
    }
}

/// Returns the ticket number in the path.
fn path_number(request: &Request<OperatorContext>) -> Result<ids::TicketNumber, InputFault> {
    let text = request.param("number").unwrap_or_default();
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(InputFault::new(
            "path",
            text,
            "the number of a ticket, from 1",
        )),
    }
}

/// Query of `GET /v1/tickets`.
#[derive(Debug, Deserialize)]
struct ListQuery {
    limit: Option<usize>,
}

/// Returns the limit in the query, or the default.
fn query_limit(request: &Request<OperatorContext>) -> Result<usize, InputFault> {
    let fault = || {
        let query = request.url().query().unwrap_or_default();
        InputFault::new("limit", query, format!("limit=1 to limit={MAX_LIST_LIMIT}"))
    };
    let query: ListQuery = request.query().map_err(|_| fault())?;
    let limit = query.limit.unwrap_or(DEFAULT_LIST_LIMIT);
    if (1..=MAX_LIST_LIMIT).contains(&limit) {
        return Ok(limit);
    }
    Err(fault())
}
