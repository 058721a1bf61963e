//! HTTP server for other nodes and for metrics collection.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use mustardgate::{
    buffers::{CollectError, collect_bytes},
    http::{AnswerBody, ConnectionLimits, bytes_answer, empty_answer, serve_connections, text_answer},
};
use mustardgate_core::{
    buffers::BufferSource,
    ports::{LogTopic, TopicError, TopicPage, TopicPosition},
    relay::{FeedTimes, ModelName, NodeMember, PageRequest},
};
use serde_bytes::ByteBuf;
use tokio::{net::TcpListener, time};

use super::{
    digests::REPORT_INTERVAL,
    directory::MEMBER_BYTES,
    exchange::{answer_knowledge, crash_bytes, crash_room},
    messages::{
        ADAPTER_PATH, AdapterRequest, CachedRecord, CachedRecords, DEMAND_PATH, DemandReport, EXCHANGE_PATH,
        KnowledgeExchange, LOG_PATH, LeaderAnswer, LogCall, LogReply, ORIGIN_PATH, OriginAnswer, OriginQuery,
        PERMIT_PATH, PermitRequest, QUOTA_PATH, QuotaCall, RECORDS_PATH, decode, encode,
    },
    part_crashes::PartCrashDigest,
    shared_reads::PageQuery,
    traffic::{MessageDirection, MessageKind},
};
use crate::{
    client::{names_target, no_runner_answer},
    context::RelayContext,
    gateway::{discard_body, full_body},
    leader::{answer_from_pool, answer_quota_report, issue_permit, load_adapter},
    link::{answer_forwarded, is_forwarded},
};

/// Largest number of nodes whose addresses the leader tells in one answer.
const MAX_NEIGHBOURS: usize = 4;
/// Time after which all nodes have reported to a new leader.
const LIST_SETTLING_TIME: Duration = REPORT_INTERVAL.saturating_mul(2);
/// Largest number of crashes and quarantines in one answer of a leader, which are told while there is room on the link.
const MAX_ANSWER_ENTRIES: usize = 256;
/// Path at which metrics are read.
const METRICS_PATH: &str = "/metrics";
/// Longest message from another node, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Timeout for receiving a message, and longest wait for changes.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time by which a page is older when its age is looked at again.
const AGE_STEP: Duration = Duration::from_millis(1);
/// Most connections open at once: one or two for each node of a large deployment.
const MAX_CONNECTIONS: usize = 1_024;
/// Largest head of a message, in bytes. Requests that are passed on bring the fields of their callers.
const MAX_HEAD_BYTES: usize = 40 * 1024;
/// Time after which an idle connection of another node is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves other nodes until the node closes its listeners.
pub async fn serve_peers(context: Arc<RelayContext>, listener: TcpListener, metrics: PrometheusHandle) {
    let closing = context.drain.closing();
    let logger = context.log.logger().clone();
    let places = context.buffers.limits().places_with_heads(MAX_HEAD_BYTES);
    let handler = move |mut request: Request<Incoming>| {
        let (context, metrics) = (Arc::clone(&context), metrics.clone());
        async move {
            // Whatever it asks for, a caller has written it.
            if let Some(own) = context.settings.listen.peers
                && names_target(request.headers(), own)
            {
                counter!("mustardgate_misdirected_requests_total").increment(1);
                discard_body(request.body_mut(), MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT).await;
                return no_runner_answer(own, full_body(Bytes::new()));
            }
            if is_forwarded(&request) {
                return answer_forwarded(context, request).await;
            }
            let answer = answer(context, metrics, request).await;
            answer.map(|body| body.map_err(|never| match never {}).boxed_unsync())
        }
    };
    let limits = ConnectionLimits {
        max_connections: MAX_CONNECTIONS.min(places),
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        max_streams: None,
        buffers: None,
    };
    serve_connections(listener, handler, limits, closing, logger).await;
}

async fn answer(
    context: Arc<RelayContext>,
    metrics: PrometheusHandle,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path().to_owned();
    if path == METRICS_PATH {
        context.record_config_age();
        return text_answer(StatusCode::OK, metrics.render());
    }
    let buffers = context.buffers.guard(BufferSource::Nodes);
    let mut body = request.into_body();
    let collecting = collect_bytes(&mut body, MAX_MESSAGE_BYTES, buffers);
    let body = match time::timeout(MESSAGE_TIMEOUT, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::NoRoom { .. })) => return empty_answer(StatusCode::SERVICE_UNAVAILABLE),
        _ => return empty_answer(StatusCode::BAD_REQUEST),
    };
    let message = match path.as_str() {
        ADAPTER_PATH => answer_adapter_request(&context, &body).await,
        DEMAND_PATH => answer_demand(&context, &body),
        PERMIT_PATH => answer_permit_request(&context, &body),
        QUOTA_PATH => answer_quota_call(&context, &body),
        EXCHANGE_PATH => answer_exchange(&context, &body),
        ORIGIN_PATH => answer_origin_query(&context, &body),
        LOG_PATH => answer_log(&context, &body).await,
        RECORDS_PATH => Some(answer_records(&context).await),
        // Anyone may list this address as a runner's. The answer tells the sending node that its request did not run.
        _ => return empty_answer(StatusCode::MISDIRECTED_REQUEST),
    };
    let kind = kind_of(&path);
    context
        .load
        .record_message(kind, MessageDirection::Received, body.len());
    if let Some(message) = &message {
        context.load.record_message(kind, MessageDirection::Sent, message.len());
    }
    match message {
        Some(message) => bytes_answer(StatusCode::OK, None, Bytes::from(message)),
        None => empty_answer(StatusCode::BAD_REQUEST),
    }
}

/// Returns the kind of the messages at a path: "…_served" for those that other nodes began.
fn kind_of(path: &str) -> MessageKind {
    match path {
        ADAPTER_PATH => "adapter_served",
        DEMAND_PATH => "demand_served",
        PERMIT_PATH => "permit_served",
        QUOTA_PATH => "quotas_served",
        EXCHANGE_PATH => "exchange_served",
        ORIGIN_PATH => "origin_served",
        LOG_PATH => "log_served",
        _ => "records_served",
    }
}

async fn answer_adapter_request(context: &Arc<RelayContext>, body: &[u8]) -> Option<Vec<u8>> {
    let wanted: AdapterRequest = decode(body)?;
    let is_leading = context.leader.token().is_some();
    let name = ModelName::parse(&wanted.name);
    let is_done = is_leading && load_adapter(context, &wanted.service, &wanted.backend, &name).await;
    Some(encode(&LeaderAnswer {
        is_leading,
        is_done,
        ..LeaderAnswer::default()
    }))
}

fn answer_demand(context: &RelayContext, body: &[u8]) -> Option<Vec<u8>> {
    let report: DemandReport = decode(body)?;
    let term = context.leader.term();
    context.directory.record_contact(report.address, report.domain.clone());
    let versions_now = context.leader.lease_time();
    context.streams.merge_versions(versions_now, &report.versions);
    context.brittle.merge(&report.brittle);
    let inputs = report.crashes.or_newer(report.inputs.as_ref());
    context.crashes.merge(&inputs);
    context.limits.merge(&report.limits);
    let Some(term) = term else {
        return Some(encode(&LeaderAnswer::default()));
    };
    context.leader.record_demand(&report.digest);
    let (observations, seen) = context.observations.since(report.seen);
    let room = context.knowledge.room();
    let page = context.crashes.suspect_page(PageRequest {
        seen: report.crashes_seen,
        known: report.crashes_known.as_ref(),
        own: None,
        max_entries: crash_room(room).min(MAX_ANSWER_ENTRIES),
    });
    let (loads, loads_seen) = context
        .loads
        .answer(versions_now, &report.loads, report.loads_seen, room);
    context.knowledge.record_sent(crash_bytes(&page.digest) + loads.len());
    // A node of an earlier build, which knows parts of prompts only, gets all of them each time.
    let earlier_build = report.inputs.is_none().then(|| context.crashes.suspect_digest());
    let crashes = earlier_build.as_ref().map(PartCrashDigest::of).unwrap_or_default();
    let nodes = context.directory.count_live_nodes();
    let lent = context
        .retry_loans
        .lend(versions_now, term, report.address, report.loan, nodes);
    Some(encode(&LeaderAnswer {
        is_leading: true,
        is_done: true,
        nodes,
        observations,
        seen,
        crashes,
        inputs: Some(page.digest),
        crashes_seen: page.last,
        has_more_crashes: !page.is_complete,
        neighbours: context.directory.sample(MAX_NEIGHBOURS, report.address),
        limits: context.limits.all_observations(),
        members: settled_members(context, report.members_seen),
        versions: context.streams.version_digest(versions_now),
        brittle: context.brittle.services(),
        loan: Some(lent),
        quotas: report
            .quotas
            .and_then(|quotas| answer_quota_report(context, report.address, &quotas)),
        loads,
        loads_seen,
    }))
}

/// Returns the list of nodes if the asking node has another one. A new leader hears of the nodes one after the other, and
/// would tell each of them a list for each of the others.
fn settled_members(context: &RelayContext, seen: u64) -> Option<Vec<NodeMember>> {
    let is_settled = context.leader.has_led_for(LIST_SETTLING_TIME);
    let changed = || context.directory.changed_members(seen, context.knowledge.room());
    let members = is_settled.then(changed).flatten()?;
    context.knowledge.record_sent(members.len() * MEMBER_BYTES);
    Some(members)
}

fn answer_exchange(context: &RelayContext, body: &[u8]) -> Option<Vec<u8>> {
    let knowledge: KnowledgeExchange = decode(body)?;
    if let Some(address) = knowledge.address {
        context.directory.record_contact(address, knowledge.domain.clone());
    }
    Some(encode(&answer_knowledge(context, &knowledge)))
}

fn answer_origin_query(context: &RelayContext, body: &[u8]) -> Option<Vec<u8>> {
    let query: OriginQuery = decode(body)?;
    let finding = context.streams.find(query.key, &query.request);
    Some(encode(&OriginAnswer { finding }))
}

fn answer_permit_request(context: &RelayContext, body: &[u8]) -> Option<Vec<u8>> {
    let request: PermitRequest = decode(body)?;
    Some(encode(&issue_permit(context, &request)))
}

fn answer_quota_call(context: &RelayContext, body: &[u8]) -> Option<Vec<u8>> {
    let call: QuotaCall = decode(body)?;
    let answer = if call.is_pooled {
        answer_from_pool(context, call.address, &call.report)
    } else {
        answer_quota_report(context, call.address, &call.report)
    };
    Some(encode(&answer))
}

/// Calls the log for another node, or passes on what this node has read of it.
///
/// What does not fit on this node's link is refused at once, because the other node can then still read the log itself
/// in time.
async fn answer_log(context: &RelayContext, body: &[u8]) -> Option<Vec<u8>> {
    let reply = match decode(body)? {
        LogCall::Read { topic, from, wait, era } => {
            let from = TopicPosition { era, offset: from };
            LogReply::Page(read_page(context, topic, PageQuery::Changes(from), wait).await)
        }
        LogCall::Changes { topic, from, wait, era } => {
            let from = TopicPosition { era, offset: from };
            LogReply::Changes(read_changes(context, topic, from, wait).await)
        }
        LogCall::Newest { topic } => LogReply::Page(read_page(context, topic, PageQuery::Newest, Duration::ZERO).await),
        LogCall::AppendAt { topic, at, value, era } => {
            let at = TopicPosition { era, offset: at };
            LogReply::Appended(context.direct_log.append_at(topic, at, value).await)
        }
        LogCall::Append { topic, values } => {
            let records = values.into_iter().map(ByteBuf::into_vec).collect();
            LogReply::Written(context.direct_log.append(topic, records).await)
        }
    };
    let reserved_at = context.leader.lease_time();
    let is_admitted = context.feed.admit(reply.weight()).await;
    let delay = context.leader.lease_time().saturating_duration_since(reserved_at);
    Some(encode(&match reply {
        LogReply::Page(_) if !is_admitted => LogReply::Page(Err(full_link())),
        LogReply::Changes(_) if !is_admitted => LogReply::Changes(Err(full_link())),
        // The page grew older while it waited for its turn on the link.
        LogReply::Changes(Ok((page, age))) => {
            let waited = page.waited.map(|waited| waited + delay);
            LogReply::Changes(Ok((TopicPage { waited, ..page }, age + delay)))
        }
        reply => reply,
    }))
}

/// Reads the log for another node, if the page can be sent on: it would come over the same link first.
async fn read_page(
    context: &RelayContext,
    topic: LogTopic,
    query: PageQuery,
    wait: Duration,
) -> Result<TopicPage, TopicError> {
    if !context.feed.has_room() {
        return Err(full_link());
    }
    let reading = context.shared_reads.read(&*context.direct_log, topic, query, wait);
    let too_many = || Err(TopicError::unavailable("the neighbour reads for others"));
    reading.await.unwrap_or_else(too_many)
}

fn full_link() -> TopicError {
    TopicError::unavailable("the neighbour's link is full")
}

/// Returns the records that this node has read, or none if it knows no configuration or its link is full.
async fn answer_records(context: &RelayContext) -> Vec<u8> {
    let cached = |topic| {
        let records = context.records.records(topic);
        records.into_iter().filter_map(CachedRecord::of).collect()
    };
    let mut records = CachedRecords {
        configuration: cached(LogTopic::Configuration),
        ..CachedRecords::default()
    };
    if !records.configuration.is_empty() {
        records.runners = cached(LogTopic::Runners);
    }
    if context.feed.admit(records.weight()).await {
        return encode(&records);
    }
    encode(&CachedRecords::default())
}

/// Returns the changes of a topic that this node has read, after waiting up to `wait` for the first one, and no longer than
/// what it knows is recent enough.
async fn read_changes(
    context: &RelayContext,
    topic: LogTopic,
    from: TopicPosition,
    wait: Duration,
) -> Result<(TopicPage, Duration), TopicError> {
    let asked_at = context.leader.lease_time();
    let ends_at = time::Instant::now() + wait.min(MESSAGE_TIMEOUT);
    let max_age = FeedTimes::max_age(context.settings.bounds.shortest_bound());
    loop {
        let changed = context.records.next_change();
        let (page, read_at) = context.records.changes(topic, from)?;
        let lease_now = context.leader.lease_time();
        let age = lease_now.saturating_duration_since(read_at);
        let now = time::Instant::now();
        if !page.records.is_empty() || now >= ends_at || age > max_age {
            let waited = Some(lease_now.saturating_duration_since(asked_at));
            return Ok((TopicPage { waited, ..page }, age));
        }
        // The next iteration checks by the clock whether the wait is over or the page too old by now.
        let outdated_at = now + max_age.saturating_sub(age) + AGE_STEP;
        let _is_changed = time::timeout_at(ends_at.min(outdated_at), changed).await.is_ok();
    }
}
