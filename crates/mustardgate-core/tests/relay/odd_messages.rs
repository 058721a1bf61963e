//! Messages of other nodes with the largest numbers: what is passed on may come from anywhere.

use std::time::{Duration, Instant};

use mustardgate_core::relay::{
    BrittleLedger, BrittleService, CrashDigest, CrashLedger, CrashObservation, CrashSettings, FormerTarget, InputId,
    LimitLedger, LimitObservation, ListRead, QuarantineNotice, SeenVersion, SoftwareVersion, StreamVersions,
    TargetDigest, VersionDigest,
};

const MESSAGE_TIME: Duration = Duration::from_millis(800);
const ODD_TIMES: [Duration; 3] = [Duration::ZERO, Duration::from_secs(u64::MAX), Duration::MAX];

// Guards against a panic under the lock of what all requests look at.
#[test]
fn ages_of_the_largest_numbers_are_taken_over_without_a_panic() {
    let now = Instant::now();
    let service = "assist".into();
    let version = SoftwareVersion::Stated("v1".into()).tag(&service);
    for age in ODD_TIMES {
        let mut versions = StreamVersions::default();
        let read = ListRead {
            began_at: now,
            ended_at: now,
            reaches_end: true,
            is_complete: true,
            is_first_start: false,
        };
        versions.record_list(read, [(&service, version)]);
        let seen = SeenVersion {
            service: service.clone(),
            version,
            age,
        };
        let digest = VersionDigest {
            covers: Some(age),
            list_age: age,
            seen: vec![seen],
            targets: TargetDigest {
                covers: Some(age),
                config_version: u64::MAX,
                former: vec![FormerTarget {
                    host: "kitchen.example".into(),
                    path_prefix: "/".into(),
                    service: service.clone(),
                    age,
                }],
            },
        };
        versions.merge(now, &digest, MESSAGE_TIME);
        versions.digest(now);
        let mut brittle = BrittleLedger::default();
        let told = BrittleService {
            service: service.clone(),
            age,
        };
        brittle.merge(now, &[told], MESSAGE_TIME);
        let mut crashes = CrashLedger::new(CrashSettings::default());
        let process = ("one".into(), u64::MAX);
        let crash = CrashObservation {
            input: InputId::Part(u64::MAX),
            process: process.clone(),
            age,
        };
        let notice = QuarantineNotice {
            input: crash.input,
            left: age,
            age,
        };
        crashes.merge(
            now,
            &CrashDigest {
                crashes: vec![crash],
                sound: vec![(InputId::Part(u64::MAX), age)],
                quarantined: vec![notice],
            },
        );
        for rate in [0.0, f64::MAX, f64::INFINITY, f64::NAN, -1.0] {
            let limit = LimitObservation {
                process: process.clone(),
                stated: Some((rate, age)),
                unlimited: Some(age),
            };
            LimitLedger::default().merge(now, &[limit], MESSAGE_TIME);
        }
    }
}
