//! Which version a stream goes on at, from records and from the versions that served of late.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::ServiceId,
    relay::{
        BegunStream, ListRead, NodeMember, NoticeScope, OriginFinding, OriginLedger, RequestContent, RequestDigest,
        SoftwareVersion, StreamKey, StreamOrigin, StreamVersions, VersionTag, choose_keepers, rank_keepers,
    },
};

const LIFE: Duration = Duration::from_secs(10);
const MESSAGE_TIME: Duration = Duration::from_millis(800);

fn service() -> ServiceId {
    "assist".into()
}

fn tag(version: &str) -> VersionTag {
    SoftwareVersion::Stated(version.into()).tag(&service())
}

fn digest(target: &str) -> RequestDigest {
    let content = RequestContent {
        method: "POST",
        host: "kitchen.example",
        target,
        account: b"",
        body: b"",
    };
    content.digest(None)
}

fn origin(attempt: &str, target: &str, version: &str) -> StreamOrigin {
    StreamOrigin::new(&attempt.into(), &digest(target), tag(version))
}

/// Reads the list with runners of these versions once.
fn read(versions: &mut StreamVersions, now: Instant, listed: &[&str]) -> Vec<StreamOrigin> {
    let service = service();
    let listed: Vec<VersionTag> = listed.iter().map(|version| tag(version)).collect();
    versions.record_list(list_read(now, now), listed.iter().map(|version| (&service, *version)))
}

/// Returns a read of all changes of the list.
fn list_read(began_at: Instant, ended_at: Instant) -> ListRead {
    ListRead {
        began_at,
        ended_at,
        reaches_end: true,
        is_complete: false,
        is_first_start: false,
    }
}

/// Returns the knowledge of a node that has read the list for a time, first as a whole.
fn running_node(start: Instant, now: Instant, listed: &[&str], is_first_start: bool) -> StreamVersions {
    let mut versions = StreamVersions::default();
    let service = service();
    let tags: Vec<VersionTag> = listed.iter().map(|version| tag(version)).collect();
    let whole = ListRead {
        is_complete: true,
        is_first_start,
        ..list_read(start, start)
    };
    versions.record_list(whole, tags.iter().map(|version| (&service, *version)));
    read(&mut versions, now, listed);
    versions
}

#[test]
fn one_version_is_certain_only_after_the_life_of_a_stream_and_while_the_list_is_recent() {
    let start = Instant::now();
    let early = running_node(start, start + LIFE / 2, &["v1"], false);
    assert_eq!(early.sole_version(start + LIFE / 2, &service(), LIFE), None);
    let now = start + LIFE;
    let late = running_node(start, now, &["v1"], false);
    assert_eq!(late.sole_version(now, &service(), LIFE), Some(tag("v1")));
    assert_eq!(late.sole_version(now + Duration::from_secs(3), &service(), LIFE), None);
    let first = running_node(start, start, &["v1"], true);
    assert_eq!(first.sole_version(start, &service(), LIFE), Some(tag("v1")));
}

#[test]
fn a_version_that_is_gone_counts_for_the_life_of_a_stream() {
    let start = Instant::now();
    let mut versions = running_node(start, start + LIFE, &["v1"], false);
    let mixed_at = start + LIFE + Duration::from_secs(1);
    read(&mut versions, mixed_at, &["v1", "v2"]);
    let rolled_at = mixed_at + Duration::from_secs(1);
    read(&mut versions, rolled_at, &["v2"]);
    assert_eq!(versions.sole_version(rolled_at, &service(), LIFE), None);
    let mut now = rolled_at;
    while now < rolled_at + LIFE + Duration::from_secs(3) {
        now += Duration::from_secs(1);
        read(&mut versions, now, &["v2"]);
    }
    assert_eq!(versions.sole_version(now, &service(), LIFE), Some(tag("v2")));
}

#[test]
fn a_node_that_starts_takes_over_what_others_know_of_earlier_versions() {
    let start = Instant::now();
    let now = start + LIFE * 2;
    let mut elder = running_node(start, now, &["v1"], false);
    read(&mut elder, now, &["v1", "v2"]);
    read(&mut elder, now + Duration::from_secs(1), &["v2"]);
    let started_at = now + Duration::from_secs(1);
    let mut newer = running_node(started_at, started_at, &["v2"], false);
    // A list that was read before the own one leaves a gap between them.
    newer.merge(started_at, &elder.digest(started_at), MESSAGE_TIME);
    assert_eq!(newer.sole_version(started_at, &service(), LIFE), None);
    let asked_at = started_at + MESSAGE_TIME;
    read(&mut elder, asked_at, &["v2"]);
    read(&mut newer, asked_at, &["v2"]);
    newer.merge(asked_at, &elder.digest(asked_at), MESSAGE_TIME);
    // Complete now, and the former version is in it.
    assert_eq!(newer.sole_version(asked_at, &service(), LIFE), None);
    let later = asked_at + LIFE + Duration::from_secs(2);
    read(&mut newer, later, &["v2"]);
    assert_eq!(newer.sole_version(later, &service(), LIFE), Some(tag("v2")));
}

#[test]
fn streams_in_flight_are_told_of_once_a_second_version_appears() {
    let start = Instant::now();
    let now = start + LIFE;
    let mut versions = running_node(start, now, &["v1"], false);
    let begin = |versions: &mut StreamVersions, attempt: &str| {
        let stream = BegunStream {
            origin: origin(attempt, "/menu", "v1"),
            service: service(),
            life: LIFE,
        };
        versions.begin(now, stream)
    };
    assert_eq!(begin(&mut versions, "running"), NoticeScope::OneKeeper);
    assert_eq!(begin(&mut versions, "ended"), NoticeScope::OneKeeper);
    versions.finish(StreamKey::of(&"ended".into()));
    assert_eq!(
        read(&mut versions, now, &["v1", "v2"]),
        [origin("running", "/menu", "v1")]
    );
    assert_eq!(begin(&mut versions, "later"), NoticeScope::All);
    assert!(read(&mut versions, now, &["v1", "v2"]).is_empty());
}

#[test]
fn records_of_other_requests_under_one_identifier_count_only_where_nothing_better_is_known() {
    let now = Instant::now();
    let key = StreamKey::of(&"s1".into());
    let mut ledger = OriginLedger::default();
    assert_eq!(ledger.find(key, &digest("/own")), OriginFinding::Unknown);
    ledger.record(now, origin("s1", "/forged", "v2"));
    assert_eq!(
        ledger.find(key, &digest("/own")),
        OriginFinding::OtherRequest(tag("v2"))
    );
    ledger.record(now, origin("s1", "/own", "v1"));
    assert_eq!(ledger.find(key, &digest("/own")), OriginFinding::Exact(tag("v1")));
    ledger.record(now, origin("s1", "/own", "v2"));
    assert_eq!(ledger.find(key, &digest("/own")), OriginFinding::Contradictory);
    let (one, two) = (
        OriginFinding::OtherRequest(tag("v1")),
        OriginFinding::OtherRequest(tag("v2")),
    );
    // A third answer does not settle what two others leave open.
    assert_eq!(one.or(two).or(one), OriginFinding::Contradictory);
    assert_eq!(
        one.or(two).or(OriginFinding::Exact(tag("v1"))),
        OriginFinding::Exact(tag("v1"))
    );
}

#[test]
fn records_are_bounded_in_time_and_number() {
    let start = Instant::now();
    let mut ledger = OriginLedger::default();
    for number in 0..40_000 {
        ledger.record(start, origin(&format!("s{number}"), "/menu", "v1"));
    }
    assert!(ledger.len() <= 32_768, "{}", ledger.len());
    ledger.record(start + Duration::from_secs(200), origin("last", "/menu", "v1"));
    assert_eq!(ledger.len(), 1);
}

#[test]
fn a_version_that_is_not_stated_equals_that_of_no_other_process() {
    let process = |started_at_ms| SoftwareVersion::of("  ", ("engine-1".into(), started_at_ms));
    assert_eq!(process(1).tag(&service()), process(1).tag(&service()));
    assert_ne!(process(1).tag(&service()), process(2).tag(&service()));
    let stated = SoftwareVersion::of(" v1 ", ("engine-1".into(), 1));
    assert_eq!(stated.tag(&service()), tag("v1"));
    assert_ne!(stated.tag(&service()), stated.tag(&"orders".into()));
}

#[test]
fn one_keeper_is_in_the_own_domain_and_all_nodes_agree_on_both() {
    let member = |number: u8, domain: &str| NodeMember {
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        domain: domain.into(),
    };
    let east: Vec<NodeMember> = (1..5).map(|number| member(number, "east")).collect();
    let west: Vec<NodeMember> = (5..9).map(|number| member(number, "west")).collect();
    let all: Vec<NodeMember> = east.iter().chain(&west).cloned().collect();
    for number in 0..100 {
        let key = StreamKey::of(&format!("s{number}").into());
        let keepers = choose_keepers(key, &all, &"east".into());
        assert!(east.contains(keepers[0]) && west.contains(keepers[1]));
        // Another node of the domain, whose list lacks the one that has ended, asks the same ones.
        let survivors: Vec<NodeMember> = all.iter().skip(1).cloned().collect();
        let asked = rank_keepers(key, &survivors, &"east".into());
        assert!(
            keepers
                .iter()
                .any(|keeper| asked[..2].contains(keeper) || **keeper == all[0])
        );
    }
    let alone = choose_keepers(StreamKey::of(&"s".into()), &east, &"north".into());
    assert_eq!(alone.len(), 2);
}

#[test]
fn nodes_that_all_start_anew_take_one_version_for_certain_only_from_a_whole_record() {
    let (start, service) = (Instant::now(), service());
    let later = start + LIFE * 3;
    let former = running_node(start, later, &["v1"], true);
    let record = former.digest(later);
    let restart = later + Duration::from_secs(2);
    let fresh = || running_node(restart, restart, &["v1"], false);
    assert_eq!(fresh().sole_version(restart, &service, LIFE), None);
    let mut joined = fresh();
    joined.merge_record(restart, &record, [(&service, tag("v1"))]);
    assert_eq!(joined.sole_version(restart, &service, LIFE), Some(tag("v1")));
    // A runner of another version came and left while no node ran.
    let mut informed = fresh();
    informed.merge_record(restart, &record, [(&service, tag("v1")), (&service, tag("v2"))]);
    assert_eq!(informed.sole_version(restart, &service, LIFE), None);
}

#[test]
fn a_record_of_a_short_history_does_not_make_one_version_certain() {
    let (start, service) = (Instant::now(), service());
    let later = start + LIFE / 2;
    let record = running_node(start, later, &["v1"], false).digest(later);
    let restart = later + Duration::from_secs(2);
    let mut joined = running_node(restart, restart, &["v1"], false);
    joined.merge_record(restart, &record, [(&service, tag("v1"))]);
    assert_eq!(joined.sole_version(restart, &service, LIFE), None);
    let much_later = restart + LIFE / 2;
    read(&mut joined, much_later, &["v1"]);
    assert_eq!(joined.sole_version(much_later, &service, LIFE), Some(tag("v1")));
}

// Guards against ORDER breaks by a node that is out of step: the others list runners of a second version and begin streams
// there while it believes in one version for up to two seconds.
#[test]
fn one_version_is_certain_for_a_stream_only_by_a_list_read_after_it_was_taken_up() {
    let (start, service) = (Instant::now(), service());
    let now = start + LIFE;
    let mut versions = running_node(start, now, &["v1"], false);
    let taken_up_at = now + Duration::from_millis(1);
    let certain = |versions: &StreamVersions, at| versions.certain_version(at, [&service], LIFE, taken_up_at);
    assert_eq!(versions.sole_version(taken_up_at, &service, LIFE), Some(tag("v1")));
    assert_eq!(
        certain(&versions, taken_up_at),
        None,
        "the list is older than the return"
    );
    // A long poll that was waiting already, and a page that is not the last one, show only some changes.
    let listed = [(&service, tag("v1"))];
    let ended_at = taken_up_at + Duration::from_millis(5);
    versions.record_list(list_read(now, ended_at), listed);
    let partial = ListRead {
        reaches_end: false,
        ..list_read(taken_up_at, ended_at)
    };
    versions.record_list(partial, listed);
    assert_eq!(certain(&versions, ended_at), None);
    versions.record_list(list_read(taken_up_at, ended_at), listed);
    assert_eq!(certain(&versions, ended_at), Some(tag("v1")));
}

#[test]
fn a_read_that_shows_a_second_version_ends_the_certainty() {
    let (start, service) = (Instant::now(), service());
    let now = start + LIFE;
    let mut versions = running_node(start, now, &["v1"], false);
    let listed = [(&service, tag("v1")), (&service, tag("v2"))];
    versions.record_list(list_read(now, now), listed);
    assert_eq!(versions.certain_version(now, [&service], LIFE, now), None);
    // A late answer to an earlier read takes nothing back.
    versions.record_list(list_read(start, now), [(&service, tag("v1"))]);
    assert_eq!(versions.certain_version(now, [&service], LIFE, now), None);
    assert!(versions.has_list_of(now));
}
