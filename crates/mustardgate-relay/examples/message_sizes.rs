//! Prints the encoded sizes of representative messages between nodes; see `docs/CAPACITY.md`, "Messages between nodes".

use std::{net::SocketAddr, time::Duration};

use mustardgate_core::relay::{
    BrittleService, CrashDigest, CrashObservation, CrashSummary, InputId, LimitObservation, LoadStatement, LoanRequest,
    NodeMember, OriginFinding, PartId, QuarantineNotice, QuotaAnswer, QuotaGrant, QuotaReport, QuotaUse, ReportedLoad,
    RequestContent, RunnerTag, SeenVersion, SoftwareVersion, StreamKey, StreamOrigin, VersionDigest, VersionTag,
    encode_loads,
};
use mustardgate_relay::{
    context::DemandDigest,
    peers::{
        DemandReport, KnowledgeExchange, LeaderAnswer, PartCrashDigest, PeerNotice, PermitAnswer, PermitRequest,
        QuotaCall,
    },
};
use serde::Serialize;

const NODE_COUNTS: [u16; 2] = [59, 360];
const RUNNERS: u16 = 140;
const SERVICES: u16 = 8;
const TENANTS: u16 = 10;
/// Inputs under which three runners crashed each.
const SUSPECTS: PartId = 84;
const AGE: Duration = Duration::from_millis(1_357);

fn print_size<T: Serialize>(name: &str, message: &T) {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("the message is encoded");
    println!("{name}: {} B", bytes.len());
}

fn node_address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7_070))
}

/// Returns crashes under parts of prompts, whose numbers have 64 bits as in operation.
fn crashes(inputs: PartId) -> CrashDigest {
    let ids = (1..=inputs).map(|input| InputId::Part(input.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let crash = |input, runner| CrashObservation {
        input,
        process: (format!("engine-{runner}").into(), 1_765_000_000_000),
        age: AGE,
    };
    CrashDigest {
        crashes: ids
            .clone()
            .flat_map(|input| (100..103).map(move |runner| crash(input, runner)))
            .collect(),
        sound: ids.take(SUSPECTS as usize / 4).map(|input| (input, AGE)).collect(),
        quarantined: Vec::new(),
    }
}

fn quarantines(inputs: PartId) -> CrashDigest {
    let notice = |input: PartId| QuarantineNotice {
        input: InputId::Part(input.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        left: AGE,
        age: AGE,
    };
    CrashDigest {
        quarantined: (1..=inputs).map(notice).collect(),
        ..CrashDigest::default()
    }
}

fn version_tag(number: u16) -> VersionTag {
    SoftwareVersion::Stated(format!("v{number}").into()).tag(&"assist".into())
}

fn versions() -> VersionDigest {
    let seen = |number: u16| SeenVersion {
        service: format!("service-{number}").into(),
        version: version_tag(number),
        age: AGE,
    };
    VersionDigest {
        covers: Some(AGE),
        list_age: AGE,
        seen: (0..2 * SERVICES).map(seen).collect(),
        ..VersionDigest::default()
    }
}

fn loads() -> Vec<u8> {
    let statement = |index: u16| LoadStatement {
        runner: RunnerTag::of(&(format!("engine-{index}").into(), 1)),
        load: ReportedLoad {
            running: 40,
            waiting: 2,
            slots: 64,
            pace: Some(1.3),
        },
        age: AGE,
    };
    encode_loads(&(0..RUNNERS).map(statement).collect::<Vec<_>>())
}

fn limits() -> Vec<LimitObservation> {
    let limit = |number: u16| LimitObservation {
        process: (format!("plain-{number}").into(), 1_765_000_000_000),
        stated: Some((12.5, AGE)),
        unlimited: None,
    };
    (0..SERVICES).map(limit).collect()
}

fn brittle() -> Vec<BrittleService> {
    let service = |number: u16| BrittleService {
        service: format!("service-{number}").into(),
        age: AGE,
    };
    (0..2).map(service).collect()
}

fn members(count: u16) -> Vec<NodeMember> {
    let member = |number: u16| NodeMember {
        address: node_address(number),
        domain: format!("domain-{}", number % 23).into(),
    };
    (0..count).map(member).collect()
}

fn quota_report() -> QuotaReport {
    let used = |number: u16| QuotaUse {
        tenant: format!("tenant-{number}").into(),
        spent: 2_400.5,
        held: 120.5,
        expected: 60.5,
        unit: 116.5,
        ..QuotaUse::default()
    };
    QuotaReport {
        process: u64::MAX,
        number: 1_000,
        term: Some(40),
        uses: (0..TENANTS).map(used).collect(),
    }
}

fn quota_answer() -> QuotaAnswer {
    let grant = |number: u16| QuotaGrant {
        tenant: format!("tenant-{number}").into(),
        granted: 116.5,
        delay: Duration::ZERO,
    };
    QuotaAnswer {
        term: 40,
        grants: (0..TENANTS).map(grant).collect(),
    }
}

fn report() -> DemandReport {
    DemandReport {
        address: node_address(1),
        digest: DemandDigest::default(),
        seen: 1_000_000,
        crashes: PartCrashDigest::default(),
        inputs: Some(CrashDigest::default()),
        limits: Vec::new(),
        domain: Some("domain-1".into()),
        members_seen: u64::MAX,
        versions: VersionDigest::default(),
        brittle: Vec::new(),
        loan: Some(LoanRequest {
            process: u64::MAX,
            held: 0.5,
        }),
        quotas: None,
        loads: Vec::new(),
        loads_seen: 1_000_000,
        crashes_seen: u64::MAX,
        crashes_known: None,
    }
}

fn answer() -> LeaderAnswer {
    LeaderAnswer {
        is_leading: true,
        is_done: true,
        nodes: 59,
        seen: 1_000_000,
        inputs: Some(CrashDigest::default()),
        neighbours: (0..4).map(node_address).collect(),
        loan: Some(0.5),
        loads_seen: 1_000_000,
        crashes_seen: u64::MAX,
        ..LeaderAnswer::default()
    }
}

fn exchange(inputs: CrashDigest) -> KnowledgeExchange {
    KnowledgeExchange {
        address: Some(node_address(1)),
        inputs,
        known: Some(CrashSummary::default()),
        limits: limits(),
        domain: Some("domain-1".into()),
        versions: versions(),
        brittle: brittle(),
        loads: loads(),
        neighbours: Vec::new(),
    }
}

fn print_parts() {
    print_size("part: crashes, 252 and 21 sound inputs", &crashes(SUSPECTS));
    print_size("part: quarantines, 84", &quarantines(SUSPECTS));
    print_size("part: loads, 140 runners", &serde_bytes::Bytes::new(&loads()));
    print_size("part: versions, 16", &versions());
    print_size("part: limits, 8", &limits());
    print_size("part: brittle, 2", &brittle());
    for count in NODE_COUNTS {
        print_size(&format!("part: members, {count}"), &members(count));
    }
    print_size("part: quotas in a report, 10 tenants", &quota_report());
    print_size("part: quotas in an answer, 10 tenants", &quota_answer());
}

fn print_origins() {
    let content = RequestContent {
        method: "POST",
        host: "kitchen.example",
        target: "/drafts/",
        account: b"",
        body: b"",
    };
    let request = content.digest(None);
    let origin = StreamOrigin::new(&"9c41d07be2a35f68".into(), &request, version_tag(1));
    let key = StreamKey::of(&"9c41d07be2a35f68".into());
    print_size("origin query, without field names", &(key, request));
    print_size("origin finding", &OriginFinding::Exact(version_tag(1)));
    print_size("notice, 1 stream", &PeerNotice::Streams(vec![origin]));
    print_size("notice, 30 streams", &PeerNotice::Streams(vec![origin; 30]));
    let rejected = ("engine-1".into(), 1_765_000_000_000);
    print_size("notice, 1 rejection", &PeerNotice::Rejections(vec![rejected]));
}

fn main() {
    print_parts();
    print_size("report, nothing new", &report());
    let full_report = DemandReport {
        limits: limits(),
        versions: versions(),
        brittle: brittle(),
        quotas: Some(quota_report()),
        ..report()
    };
    print_size("report, calm", &full_report);
    print_size("answer, nothing new", &answer());
    let calm = LeaderAnswer {
        limits: limits(),
        versions: versions(),
        brittle: brittle(),
        quotas: Some(quota_answer()),
        ..answer()
    };
    print_size("answer, calm", &calm);
    for count in NODE_COUNTS {
        let first = LeaderAnswer {
            inputs: Some(crashes(SUSPECTS)),
            members: Some(members(count)),
            loads: loads(),
            ..calm.clone()
        };
        print_size(&format!("answer, first of a leader of {count} nodes"), &first);
    }
    print_size("exchange, no crashes", &exchange(CrashDigest::default()));
    print_size("exchange, 48 crashes", &exchange(crashes(16)));
    print_size("part: summary of crashes", &CrashSummary::default());
    print_size("exchange, 252 crashes", &exchange(crashes(SUSPECTS)));
    let limit = limits().remove(0);
    print_size("permit request", &PermitRequest { limit });
    print_size("permit answer", &PermitAnswer::Issued);
    let quota_call = QuotaCall {
        address: node_address(1),
        report: quota_report(),
        is_pooled: false,
    };
    print_size("quota call, 10 tenants", &quota_call);
    print_size("quota answer, 10 tenants", &quota_answer());
    print_origins();
}
