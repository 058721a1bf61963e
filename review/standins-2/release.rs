//! The case of a release: streams that their clients take up again after it.

use std::{collections::BTreeSet, io, path::Path, thread, time::Duration};

use crate::{
    cases::Stage,
    client::{Received, Return},
    runner::StreamShape,
};

const CLIENTS: usize = 12;
/// Time that the route allows, after which nodes break a stream off.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Pauses of a client before it takes a stream up. With them it is without an event for 5.4 s, less than the four times
/// 1.5 s after which clients abandon a stream of the route.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_secs(1),
    Duration::from_millis(4_300),
];
/// Time from the entry of a new runner to the removal of a former one's, and from there to the next.
const OVERLAP: Duration = Duration::from_millis(200);
const GAP: Duration = Duration::from_millis(800);

/// The runners of a version are replaced by those of another one while streams run. Returns whether the rule held: no
/// stream holds events of both versions.
///
/// # Errors
/// The error if the case could not run.
pub fn late_returns(root: &Path, record: &Path, has_trouble: bool) -> io::Result<bool> {
    let former = StreamShape {
        events: 60,
        pause: Duration::from_millis(100),
        step: 1,
        version: "v1",
        broken_one_in: 0,
    };
    let latter = StreamShape {
        version: "v2",
        ..former
    };
    let stage = Stage::start(root, record, &[former; 2], TIMEOUT)?;
    let clients = (0..CLIENTS).map(|index| {
        let mut client = stage.client(&format!("client-{index}"));
        let returns = (1..).zip(PAUSES).map(|(number, pause)| Return {
            node: (index + number) % 2,
            pause,
        });
        let returns: Vec<Return> = returns.collect();
        thread::spawn(move || client.fetch(index % 2, &returns, None))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(OVERLAP);
    for index in 0..2 {
        if has_trouble {
            stage.add_runner(&format!("latter-{index}"), latter)?;
            thread::sleep(OVERLAP);
            stage.remove_entry(&format!("runner-{index}"));
            thread::sleep(GAP);
        }
    }
    let streams: Vec<Vec<Received>> = clients
        .into_iter()
        .map(|client| client.join().expect("no client panics"))
        .collect();
    let versions = |stream: &Vec<Received>| -> BTreeSet<String> {
        stream.iter().flat_map(|request| request.versions.clone()).collect()
    };
    if streams.iter().any(|stream| versions(stream).is_empty()) {
        return Err(io::Error::other("a stream has no event"));
    }
    let mixed = streams.iter().filter(|stream| versions(stream).len() > 1).count();
    let whole = |stream: &&Vec<Received>| stream.last().is_some_and(|request| request.is_whole);
    let complete = streams.iter().filter(whole).count();
    let text = format!("{mixed} of {CLIENTS} streams hold events of two versions, {complete} ended as whole");
    stage.record.write(&text);
    println!("{text}");
    Ok(mixed == 0)
}
