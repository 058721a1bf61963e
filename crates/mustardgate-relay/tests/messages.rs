//! Messages between nodes of two builds: values were sent as lists of numbers, and are sent as byte strings.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use mustardgate_core::{
    ports::{LogTopic, TopicError, TopicPage, TopicRecord},
    relay::{
        CrashDigest, CrashObservation, InputId, LimitObservation, LoanRequest, NodeMember, RequestContent,
        RunnerObservation, SoftwareVersion, StreamOrigin,
    },
};
use mustardgate_relay::{
    context::DemandDigest,
    peers::{
        CachedRecord, CachedRecords, DemandReport, KnowledgeExchange, LeaderAnswer, LogCall, LogReply, PartCrashDigest,
        PeerNotice,
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A record as earlier builds send and read it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ListedValue {
    key: String,
    offset: u64,
    value: Option<Vec<u8>>,
}

fn convert<A: Serialize, B: DeserializeOwned>(message: &A) -> B {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("the message is encoded");
    ciborium::from_reader(bytes.as_slice()).expect("the message is decoded")
}

#[test]
fn values_are_understood_by_both_builds() {
    for value in [Some(vec![0_u8, 24, 255]), None] {
        let listed = ListedValue {
            key: "config".to_owned(),
            offset: 3,
            value,
        };
        let record: TopicRecord = convert(&listed);
        assert_eq!(record.value, listed.value);
        assert_eq!(convert::<_, ListedValue>(&record), listed);
        let Some(cached) = CachedRecord::of(record) else {
            continue;
        };
        assert_eq!(convert::<_, ListedValue>(&cached), listed);
        assert_eq!(convert::<_, CachedRecord>(&listed), cached);
    }
}

#[test]
fn a_value_takes_about_as_many_bytes_as_it_has() {
    let record = TopicRecord {
        offset: 3,
        key: "config".into(),
        value: Some(vec![200; 10_000]),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("the message is encoded");
    assert!(bytes.len() < 10_100, "{}", bytes.len());
}

/// An answer of the leader as the build before whole requests sends and reads it.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierAnswer {
    is_leading: bool,
    is_done: bool,
    nodes: u32,
    observations: Vec<u8>,
    seen: u64,
    crashes: EarlierCrashes,
}

#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierCrashes {
    crashes: Vec<BTreeMap<String, EarlierValue>>,
    sound: Vec<(u64, Duration)>,
    quarantined: Vec<(u64, Duration)>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum EarlierValue {
    Part(u64),
    Process(String, u64),
    Age(Duration),
}

#[test]
fn crashes_under_parts_of_prompts_are_understood_by_both_builds() {
    let age = Duration::from_secs(3);
    let digest = CrashDigest {
        crashes: vec![CrashObservation {
            input: InputId::Part(7),
            process: ("engine-1".into(), 1),
            age,
        }],
        sound: vec![(InputId::Part(8), age)],
        ..CrashDigest::default()
    };
    let answer = LeaderAnswer {
        crashes: PartCrashDigest::of(&digest),
        inputs: Some(digest.clone()),
        ..LeaderAnswer::default()
    };
    let earlier: EarlierAnswer = convert(&answer);
    assert_eq!(earlier.crashes.crashes[0]["part"], EarlierValue::Part(7));
    assert_eq!(
        earlier.crashes.crashes[0]["process"],
        EarlierValue::Process("engine-1".to_owned(), 1)
    );
    assert_eq!(earlier.crashes.sound, [(8, age)]);
    let returned: LeaderAnswer = convert(&earlier);
    assert_eq!(returned.inputs, None);
    assert_eq!(returned.crashes.or_newer(None), digest);
}

// Guards the control traffic at the design size: 48 records a second, 6 KB a second for all control.
#[test]
fn a_record_of_a_stream_fits_into_the_control_traffic() {
    const PACKET_HEADER_BYTES: usize = 28;
    const RECORDS_PER_S: usize = 48;
    const CONTROL_BYTES_PER_S: usize = 6_000;
    let content = RequestContent {
        method: "POST",
        host: "kitchen.example",
        target: "/drafts/",
        account: b"",
        body: b"",
    };
    let version = SoftwareVersion::Stated("v1".into()).tag(&"assist".into());
    let origin = StreamOrigin::new(&"9c41d07be2a35f68".into(), &content.digest(None), version);
    let mut bytes = Vec::new();
    ciborium::into_writer(&vec![origin], &mut bytes).expect("the message is encoded");
    assert_eq!(convert::<_, Vec<StreamOrigin>>(&vec![origin]), [origin]);
    let sent = (bytes.len() + PACKET_HEADER_BYTES) * RECORDS_PER_S;
    assert!(sent <= CONTROL_BYTES_PER_S, "{sent} B/s, {} B a record", bytes.len());
}

// Guards the control traffic at the design size: one report and its answer each 0.7 s from each node.
#[test]
fn a_loan_of_retries_fits_into_the_control_traffic() {
    const REPORT_INTERVAL_MS: usize = 700;
    const LOAN_BYTES_PER_S: usize = 120;
    let request = LoanRequest {
        process: u64::MAX,
        held: 0.5 / 360.0,
    };
    let answer = |loan| LeaderAnswer {
        loan,
        ..LeaderAnswer::default()
    };
    let asked = encoded_length(&Some(request)) - encoded_length(&None::<LoanRequest>);
    let lent = encoded_length(&answer(Some(request.held))) - encoded_length(&answer(None));
    let sent = (asked + lent) * 1_000 / REPORT_INTERVAL_MS;
    eprintln!("{sent} B/s, {asked} B asked, {lent} B lent");
    assert!(sent <= LOAN_BYTES_PER_S, "{sent} B/s, {asked} B asked, {lent} B lent");
}

/// A report of the build before versions, members and brittle services were told.
#[derive(Debug, Serialize, Deserialize)]
struct UnversionedReport {
    address: SocketAddr,
    digest: DemandDigest,
    seen: u64,
    crashes: PartCrashDigest,
    inputs: Option<CrashDigest>,
    limits: Vec<LimitObservation>,
}

/// The leader's answer of that build.
#[derive(Debug, Default, Serialize, Deserialize)]
struct UnversionedAnswer {
    is_leading: bool,
    is_done: bool,
    nodes: u32,
    observations: Vec<RunnerObservation>,
    seen: u64,
    crashes: PartCrashDigest,
    inputs: Option<CrashDigest>,
    neighbours: Vec<SocketAddr>,
    limits: Vec<LimitObservation>,
}

/// What nodes of that build exchange without a leader.
#[derive(Debug, Serialize, Deserialize)]
struct UnversionedExchange {
    address: Option<SocketAddr>,
    inputs: CrashDigest,
    limits: Vec<LimitObservation>,
}

// Guards nodes of two builds side by side: fields are added, and none is lost.
#[test]
fn messages_of_the_build_before_versions_are_understood_and_understand_these() {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let report: DemandReport = convert(&UnversionedReport {
        address,
        digest: DemandDigest::default(),
        seen: 7,
        crashes: PartCrashDigest::default(),
        inputs: None,
        limits: Vec::new(),
    });
    assert_eq!((report.address, report.seen, report.domain.clone()), (address, 7, None));
    // It names no change of crashes, so it gets all of them.
    assert_eq!(report.crashes_seen, 0);
    assert_eq!(convert::<_, UnversionedReport>(&report).seen, 7);
    let answer: LeaderAnswer = convert(&UnversionedAnswer {
        is_leading: true,
        nodes: 9,
        ..UnversionedAnswer::default()
    });
    assert!(answer.is_leading && answer.members.is_none() && answer.versions.covers.is_none());
    assert_eq!((answer.loan, answer.crashes_seen), (None, 0));
    let told = LeaderAnswer {
        nodes: 9,
        crashes_seen: 7,
        members: Some(vec![NodeMember {
            address,
            domain: "east".into(),
        }]),
        ..LeaderAnswer::default()
    };
    assert_eq!(convert::<_, UnversionedAnswer>(&told).nodes, 9);
    let exchange: KnowledgeExchange = convert(&UnversionedExchange {
        address: Some(address),
        inputs: CrashDigest::default(),
        limits: Vec::new(),
    });
    assert_eq!((exchange.address, exchange.domain.clone()), (Some(address), None));
    assert_eq!(convert::<_, UnversionedExchange>(&exchange).address, Some(address));
}

/// Notices of the build before streams were recorded in the log.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierNotice {
    Streams(Vec<StreamOrigin>),
    Rejections(Vec<(String, u64)>),
}

/// Calls to the log of that build.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierCall {
    Newest {
        topic: EarlierTopic,
    },
    Read {
        topic: EarlierTopic,
        from: u64,
        wait: Duration,
    },
}

/// Topics of that build.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierTopic {
    Configuration,
    Runners,
    Leases,
}

fn bytes_of<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("the message is encoded");
    bytes
}

fn is_understood<T: DeserializeOwned>(bytes: &[u8]) -> bool {
    ciborium::from_reader::<T, _>(bytes).is_ok()
}

// Guards against nodes of the build before that take a new message for another one, or whose messages are lost here.
#[test]
fn messages_of_the_build_before_recorded_streams_are_understood_and_new_ones_are_not_mistaken() {
    let rejected = EarlierNotice::Rejections(vec![("one".to_owned(), 7)]);
    let notice: PeerNotice = convert(&rejected);
    assert_eq!(notice, PeerNotice::Rejections(vec![("one".into(), 7)]));
    assert_eq!(convert::<_, EarlierNotice>(&notice), rejected);
    for topic in [EarlierTopic::Configuration, EarlierTopic::Runners, EarlierTopic::Leases] {
        let call = EarlierCall::Read {
            topic,
            from: 3,
            wait: Duration::from_millis(600),
        };
        assert_eq!(convert::<_, EarlierCall>(&convert::<_, LogCall>(&call)), call);
    }
    let unrecorded = bytes_of(&PeerNotice::Unrecorded(Vec::new()));
    assert!(!is_understood::<EarlierNotice>(&unrecorded));
    let append = bytes_of(&LogCall::Append {
        topic: LogTopic::StreamOrigins,
        values: Vec::new(),
    });
    assert!(!is_understood::<EarlierCall>(&append));
    let read = bytes_of(&LogCall::Newest {
        topic: LogTopic::StreamOrigins,
    });
    assert!(!is_understood::<EarlierCall>(&read));
}

// Guards against a link filled by replies that are taken for smaller than they are.
#[test]
fn a_reply_is_no_longer_than_its_weight() {
    let record = |index: u64, value: Option<Vec<u8>>| TopicRecord {
        offset: u64::MAX - index,
        key: format!("runner-{index}").into(),
        value,
    };
    let values = [None, Some(Vec::new()), Some(vec![7; 300]), Some(vec![7; 70_000])];
    let records: Vec<_> = (0..).zip(values).map(|(index, value)| record(index, value)).collect();
    let cached = CachedRecords {
        configuration: records.iter().cloned().filter_map(CachedRecord::of).collect(),
        runners: records.iter().cloned().filter_map(CachedRecord::of).collect(),
    };
    assert!(
        encoded_length(&cached) <= cached.weight(),
        "{}",
        encoded_length(&cached)
    );
    let page = TopicPage {
        next: u64::MAX,
        era: u64::MAX,
        records,
        waited: Some(Duration::MAX),
        began_before: Duration::MAX,
        ..TopicPage::default()
    };
    let age = Duration::from_nanos(u64::MAX);
    let refusal = TopicError::unavailable("the neighbour does not have the changes from this offset");
    let replies = [
        LogReply::Page(Ok(page.clone())),
        LogReply::Changes(Ok((page, age))),
        LogReply::Changes(Ok((TopicPage::default(), age))),
        LogReply::Page(Err(refusal)),
        LogReply::Appended(Ok(u64::MAX)),
    ];
    for reply in replies {
        let length = encoded_length(&reply);
        assert!(length <= reply.weight(), "{length} bytes, weight {}", reply.weight());
    }
}

fn encoded_length<T: Serialize>(message: &T) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("the message is encoded");
    bytes.len()
}

/// A topic as builds before the record of crashes know it.
#[derive(Debug, Deserialize)]
enum FormerTopic {
    Configuration,
    Runners,
    Leases,
    StreamOrigins,
}

// Guards against calls of the log that an earlier build takes for calls of another topic; it answers that it cannot read them.
#[test]
fn builds_before_recorded_crashes_know_the_other_topics_only() {
    let is_known = |topic: LogTopic| is_understood::<FormerTopic>(&bytes_of(&topic));
    for topic in [
        LogTopic::Configuration,
        LogTopic::Runners,
        LogTopic::Leases,
        LogTopic::StreamOrigins,
    ] {
        assert!(is_known(topic), "{topic:?}");
    }
    assert!(!is_known(LogTopic::Crashes));
}
