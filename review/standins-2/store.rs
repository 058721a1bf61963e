//! Stand-in for the platform's store: a log of topics with one partition each.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Head, serve},
    wire::wire,
};

/// Topics whose names begin so keep the newest record of each key.
const KEYED: &str = "keyed.";

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    appended: Condvar,
}

impl Store {
    /// Starts a store; returns it with its address.
    ///
    /// # Errors
    /// The error if no port can be bound.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        let address = serve(move |connection| served.serve(connection))?;
        Ok((store, address))
    }

    /// Writes the record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.lock().entry(topic.to_owned()).or_default().push(record);
        self.appended.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(&head)?;
            let topic = head.parameter("topic").unwrap_or_default().to_owned();
            let path = head.word(1).split('?').next().unwrap_or_default();
            let (status, answer) = if path == wire("log_read") {
                (200, self.read(&topic, &head))
            } else if path == wire("log_newest") {
                (200, self.newest(&topic).into_bytes())
            } else if path == wire("log_append") {
                self.append(&topic, &head, &body)
            } else {
                (404, Vec::new())
            };
            connection.answer(status, "", &answer)?;
        }
        Ok(())
    }

    fn read(&self, topic: &str, head: &Head) -> Vec<u8> {
        let number = |name| head.parameter(name).and_then(|value| value.parse().ok()).unwrap_or(0);
        let (from, wait) = (number("start_from") as usize, Duration::from_millis(number("wait_ms")));
        let ends_at = Instant::now() + wait;
        let mut topics = self.lock();
        while topics.get(topic).map_or(0, Vec::len) <= from {
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.appended.wait_timeout(topics, left).expect("no holder panics").0;
        }
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut page = (records.len() as u64).to_be_bytes().to_vec();
        page.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            page.extend((record.len() as u32).to_be_bytes());
            page.extend(record);
        }
        page
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.lock();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let value = encode_base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        format!(r#"{{"items":[{items}],"has_more":false,"end":{}}}"#, records.len())
    }

    fn append(&self, topic: &str, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.lock();
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        let at = head.parameter("at").and_then(|value| value.parse::<usize>().ok());
        if at.is_some_and(|at| at != end) {
            return (412, format!(r#"{{"end":{end}}}"#).into_bytes());
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let Some((record, after)) = after.split_at_checked(u32::from_be_bytes(*length) as usize) else {
                return (400, Vec::new());
            };
            if !topic.starts_with(KEYED) || !record.is_empty() {
                records.push(record.to_vec());
            }
            rest = after;
        }
        let answer = format!(r#"{{"offset":{end},"end":{}}}"#, records.len());
        self.appended.notify_all();
        (200, answer.into_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Vec<Vec<u8>>>> {
        self.topics.lock().expect("no holder panics")
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 4];
        padded[1..=group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes(padded);
        for place in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
