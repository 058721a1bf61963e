//! Batches of stream origins in the log, and who writes them.

use std::{net::SocketAddr, time::Duration};

use mustardgate_core::{
    ids::ServiceId,
    relay::{
        NodeMember, RequestContent, SoftwareVersion, StreamOrigin, choose_recorders, decode_batch, encode_batches,
        record_interval,
    },
};

fn origins(count: usize, versions: usize) -> Vec<StreamOrigin> {
    let service: ServiceId = "assist".into();
    let origin = |number: usize| {
        let target = format!("/{number}");
        let content = RequestContent {
            method: "POST",
            host: "kitchen.example",
            target: &target,
            account: b"",
            body: b"",
        };
        let version = SoftwareVersion::Stated(format!("v{}", number % versions).into()).tag(&service);
        StreamOrigin::new(&format!("attempt-{number}").into(), &content.digest(None), version)
    };
    (0..count).map(origin).collect()
}

fn member(number: usize, domains: usize) -> NodeMember {
    NodeMember {
        address: SocketAddr::from(([10, 0, (number / 256) as u8, (number % 256) as u8], 80)),
        domain: format!("domain-{}", number % domains).into(),
    }
}

#[test]
fn batches_hold_every_origin_within_the_size_that_the_log_accepts() {
    for (count, versions, max_bytes) in [(1, 1, 10), (30, 2, 10_000), (1_000, 3, 512), (1_000, 700, 100_000)] {
        let all = origins(count, versions);
        let batches = encode_batches(&all, max_bytes);
        let decoded: Vec<StreamOrigin> = batches
            .iter()
            .flat_map(|batch| decode_batch(batch).expect("a batch"))
            .collect();
        assert_eq!(decoded, all);
        assert!(batches.iter().all(|batch| batch.len() <= max_bytes || count == 1));
    }
    assert!(encode_batches(&[], 100).is_empty());
}

#[test]
fn an_origin_takes_few_bytes_in_a_batch() {
    let batches = encode_batches(&origins(100, 2), 100_000);
    assert_eq!(batches.len(), 1);
    assert!(batches[0].len() <= 100 * 18, "{}", batches[0].len());
}

// Guards against nodes that end when another writer leaves something in the topic.
#[test]
fn damaged_batches_and_other_formats_hold_nothing() {
    let batch = encode_batches(&origins(3, 2), 100_000).remove(0);
    for length in 0..batch.len() {
        // A whole entry less is a shorter batch.
        let shorter = decode_batch(&batch[..length]).unwrap_or_default();
        assert!(shorter.len() < 3);
    }
    let mut other_format = batch.clone();
    other_format[0] = 2;
    assert_eq!(decode_batch(&other_format), None);
    let mut no_such_version = batch;
    let last = no_such_version.len() - 1;
    no_such_version[last] = 200;
    assert_eq!(decode_batch(&no_such_version), None);
}

fn recorders_of(nodes: &[NodeMember], number: usize, origin: &StreamOrigin) -> Vec<NodeMember> {
    let own = &nodes[number];
    let others: Vec<NodeMember> = nodes.iter().filter(|node| *node != own).cloned().collect();
    let recorders = choose_recorders(origin.key, own, &others);
    recorders.into_iter().cloned().collect()
}

#[test]
fn all_nodes_of_a_domain_choose_the_same_recorder_and_stay_within_the_rate_of_the_log() {
    const WRITES_PER_S: f64 = 400.0;
    let origins = origins(50, 2);
    for (count, domains) in [(1, 1), (7, 3), (77, 3), (360, 23)] {
        let nodes: Vec<NodeMember> = (0..count).map(|number| member(number, domains)).collect();
        let mut recorders = Vec::new();
        let mut interval = Duration::ZERO;
        for (number, own) in nodes.iter().enumerate() {
            let others: Vec<NodeMember> = nodes.iter().filter(|node| *node != own).cloned().collect();
            for origin in &origins {
                let chosen = recorders_of(&nodes, number, origin);
                assert_eq!(chosen[0].domain, own.domain);
                recorders.extend(chosen);
            }
            interval = record_interval(own, &others);
        }
        recorders.sort();
        recorders.dedup();
        assert_eq!(recorders.len(), domains.min(count));
        assert!(recorders.len() as f64 / interval.as_secs_f64() <= WRITES_PER_S / 2.0);
    }
}

// Guards against streams that nobody records while the recorder of their domain is down.
#[test]
fn a_second_recorder_is_told_that_is_in_another_domain_if_there_is_one() {
    for (count, domains) in [(2, 1), (7, 3), (77, 3), (360, 23)] {
        let nodes: Vec<NodeMember> = (0..count).map(|number| member(number, domains)).collect();
        for origin in origins(50, 2) {
            let [near, far] = recorders_of(&nodes, count - 1, &origin)
                .try_into()
                .expect("two recorders");
            assert_ne!(near, far);
            assert_eq!(near.domain == far.domain, domains == 1);
        }
    }
}
