//! Messages between nodes of two builds: values were sent as lists of numbers, and are sent as byte strings.

use mustardgate_core::ports::TopicRecord;
use mustardgate_relay::peers::CachedRecord;
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
