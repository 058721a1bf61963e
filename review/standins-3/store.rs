//! A stand-in of the platform's store: topics of one partition each, read with long polls.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, MessageReader, answer_bytes},
    wire::call_name,
};

/// Characters of base64.
const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// The store. Offsets number the records of a topic from 0.
#[derive(Debug, Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

impl Store {
    /// Starts a store and returns it with its address.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::<Self>::default();
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes the newest record of a key, as the operator and the runners do; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut topics = self.topics.lock().expect("no holder panics");
        topics.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = MessageReader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            let body = reader.body(&head)?;
            let (status, content) = self.answer(&head, &body);
            stream.write_all(&answer_bytes(status, &[], &content))?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let topic = head.query("topic").unwrap_or_default();
        match call_name(head.path()).unwrap_or_default() {
            "log-append" => self.append(topic, number(head, "at"), body),
            "log-read" => {
                let wait = Duration::from_millis(number(head, "wait_ms").unwrap_or(0));
                self.read(topic, number(head, "start_from").unwrap_or(0), wait)
            }
            "log-newest" => self.newest(topic),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut topics = self.topics.lock().expect("no holder panics");
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = (u32::from_be_bytes(*length) as usize).min(after.len());
            records.push(after[..length].to_vec());
            rest = &after[length..];
        }
        let end = records.len();
        self.changed.notify_all();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> (&'static str, Vec<u8>) {
        let ends_at = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("no holder panics");
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            let end = records.len() as u64;
            let left = ends_at.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut content = end.to_be_bytes().to_vec();
                content.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from as usize) {
                    content.extend((record.len() as u32).to_be_bytes());
                    content.extend(record);
                }
                return ("200 OK", content);
            }
            topics = self.changed.wait_timeout(topics, left).expect("no holder panics").0;
        }
    }

    fn newest(&self, topic: &str) -> (&'static str, Vec<u8>) {
        let topics = self.topics.lock().expect("no holder panics");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut items = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else {
                continue;
            };
            let (key, value) = rest.split_at((*length as usize).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                items.remove(&key);
                continue;
            }
            let item = format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            );
            items.insert(key, item);
        }
        let items: Vec<String> = items.into_values().collect();
        let content = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        ("200 OK", content.into_bytes())
    }
}

fn number(head: &Head, name: &str) -> Option<u64> {
    head.query(name)?.parse().ok()
}

fn base64(content: &[u8]) -> String {
    let mut text = String::new();
    for part in content.chunks(3) {
        let bytes = [
            part[0],
            part.get(1).copied().unwrap_or(0),
            part.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for place in 0..4 {
            if place <= part.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(BASE64[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
