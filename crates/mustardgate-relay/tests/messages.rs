//! Messages between nodes of two builds: values were sent as lists of numbers, and are sent as byte strings.

use std::{collections::BTreeMap, time::Duration};

use mustardgate_core::{
    ports::TopicRecord,
    relay::{CrashDigest, CrashObservation, InputId, RequestContent, SoftwareVersion, StreamOrigin},
};
use mustardgate_relay::peers::{CachedRecord, LeaderAnswer, PartCrashDigest};
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
