//! Tells an answer that is lost with the link from one whose runner is silent.
//!
//! A sound runner may be silent for seconds, all runners at once too, and goes on. So an answer is given up only if
//! another node reaches its runner while this node does not. See `docs/design/cut-off-nodes.md`.

use std::{net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::{Response, body::Incoming};
use metrics::counter;
use mustardgate::events;
use mustardgate_core::{clock, ids::RequestId};
use slog::o;
use tokio::time;

use super::{
    check::probe_runner,
    headers::{ForwardRefusal, ForwardRequest, ForwardVerdict},
};
use crate::{client::SendFailure, context::RelayContext, fleet::RunnerCell, link::HelperUse};

/// Time without a byte over a cut link after which other nodes are asked, and time between two rounds.
const STALL_LIMIT: Duration = Duration::from_millis(300);
/// Time between two checks of a runner whose stream another one is about to continue. Both work on it meanwhile.
const REACH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the question, which leads through one other node to the runner and back.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of other nodes that are asked in a round.
const MAX_WITNESSES: usize = 2;
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Completes when the answer of a runner will not come: the link is cut, and the runner answers another node.
pub async fn lost_answer(context: &RelayContext, cell: &RunnerCell, request: &RequestId) {
    loop {
        context.link.next_cut().await;
        time::sleep(STALL_LIMIT).await;
        if !context.link.is_cut() {
            continue;
        }
        if let Some(witness) = find_witness(context, cell).await
            && context.link.is_cut()
        {
            counter!("mustardgate_answers_given_up_total").increment(1);
            let values = o!("node" => witness.to_string(), "backend" => cell.listed().id.to_string());
            context.log.write(events::RELAY_ANSWER_GIVEN_UP, request, values);
            return;
        }
    }
}

/// Completes when this node reaches a runner over a new connection.
pub async fn runner_reached(context: &RelayContext, cell: &RunnerCell) {
    loop {
        time::sleep(REACH_CHECK_INTERVAL).await;
        if probe_runner(context, cell).await {
            return;
        }
    }
}

/// Returns another node that reaches the runner while this one does not.
///
/// The answers in flight at the same runner share the question.
async fn find_witness(context: &RelayContext, cell: &RunnerCell) -> Option<SocketAddr> {
    let mut last = cell.last_witness.lock().await;
    if let Some((at, witness)) = *last
        && clock::now().saturating_duration_since(at) < STALL_LIMIT
    {
        return witness;
    }
    let mut witness = ask_nodes(context, cell).await;
    // After a silence of all runners, the other node may only have noticed their return first.
    if witness.is_some() && probe_runner(context, cell).await {
        witness = None;
    }
    *last = Some((clock::now(), witness));
    witness
}

async fn ask_nodes(context: &RelayContext, cell: &RunnerCell) -> Option<SocketAddr> {
    let members = context.directory.members();
    let mut asked = Vec::new();
    while asked.len() < MAX_WITNESSES {
        let (address, helper) = context.helpers.choose(&members, &asked)?;
        asked.push(address);
        counter!("mustardgate_link_probes_total").increment(1);
        let asking = time::timeout(WITNESS_TIMEOUT, ask_node(context, cell, &helper));
        if matches!(asking.await, Ok(Ok(true))) {
            return Some(address);
        }
    }
    None
}

/// Has another node ask the runner for its process; returns whether the runner answered.
async fn ask_node(context: &RelayContext, cell: &RunnerCell, helper: &HelperUse) -> Result<bool, SendFailure> {
    let node = helper.helper();
    let mut taken = node.pool.take(WITNESS_TIMEOUT).await?;
    let listed = cell.listed();
    let mut request = context.ports.control.process_request(&listed.id);
    let forwarded = ForwardRequest {
        backend: listed.id.clone(),
        started_at_ms: listed.started_at_ms,
        request: RequestId::default(),
        time_left: WITNESS_TIMEOUT,
        needs_process: false,
    };
    forwarded.write(request.headers_mut());
    let mut answer = taken.connection.send(request, WITNESS_TIMEOUT).await?;
    let (verdict, load) = ForwardVerdict::take(answer.headers_mut());
    node.record_load(load);
    if verdict == ForwardVerdict::Refused(ForwardRefusal::Unavailable) {
        node.rest();
    }
    let is_whole = read_answer(answer).await;
    if is_whole {
        node.pool.give_back(taken.connection, None);
    }
    Ok(is_whole && matches!(verdict, ForwardVerdict::Answered { .. }))
}

/// Reads an answer to its end, and returns whether it was whole and within the limit; its bytes are dropped.
async fn read_answer(answer: Response<Incoming>) -> bool {
    let mut body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
