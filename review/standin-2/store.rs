//! The platform's store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http;
use crate::http::Message;
use crate::json;

/// Time that the store takes for an answer, as the sheets say.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change; an item that was removed is `None`.
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let inner = Inner {
            revision: 100,
            next_lease: 500,
            ..Inner::default()
        };
        let store = Self {
            address,
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
        };
        let served = store.clone();
        http::serve(listener, move |stream| served.serve(stream));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Writes a key as the operator or an engine.
    pub fn put(&self, key: &str, value: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.revision += 1;
        inner.put(key, value.as_bytes().to_vec(), 0);
        self.inner.1.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let inner = self.inner.0.lock().unwrap();
        let item = inner.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    fn expire(&self) {
        let mut inner = self.inner.0.lock().unwrap();
        let now = Instant::now();
        let ended = inner.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            inner.end_lease(lease);
            self.inner.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            if writer
                .write_all(&http::whole(status, "Store-Era: 1\r\n", &body))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request
            .path()
            .strip_prefix("/agatemill/")
            .unwrap_or(request.path());
        let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
        let body = json::read(&String::from_utf8_lossy(&request.body));
        let mut inner = self.inner.0.lock().unwrap();
        match (request.word(0), path, call) {
            ("GET", "kv-range", _) => {
                let prefix = request.query("path-prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let items = inner
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let rows: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
                let (rows, revision) = (rows.join(","), inner.revision);
                (
                    200,
                    format!(
                        "{{\"items\":[{rows}],\"more-pages\":false,\"current-rev\":{revision}}}"
                    ),
                )
            }
            ("GET", "kv-watch", _) => {
                let number = |name| {
                    request
                        .query(name)
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0)
                };
                let prefix = request.query("path-prefix").unwrap_or_default();
                let (after, end) = (
                    number("after"),
                    Instant::now() + Duration::from_millis(number("wait-ms")),
                );
                loop {
                    let events = inner
                        .events
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
                    let rows = events.map(|(rev, key, item)| match item {
                        Some(item) => row(key, item),
                        None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}"),
                    });
                    let rows: Vec<String> = rows.collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let (rows, revision) = (rows.join(","), inner.revision);
                        return (
                            200,
                            format!("{{\"events\":[{rows}],\"current-rev\":{revision}}}"),
                        );
                    }
                    inner = self.inner.1.wait_timeout(inner, left).unwrap().0;
                }
            }
            ("POST", "kv-txn", _) => {
                let answer = inner.transact(&body);
                self.inner.1.notify_all();
                answer
            }
            ("POST", "kv-lease", _) => {
                let ttl =
                    Duration::from_millis(body.get("ttl-ms").number().unwrap_or(1000).max(1000));
                inner.next_lease += 1;
                let lease = inner.next_lease;
                inner.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttl-ms\":{}}}", ttl.as_millis()),
                )
            }
            ("POST", _, "kv-keep") => {
                let lease = id.parse().unwrap_or(0);
                match inner.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _, "kv-lease-end") => {
                inner.end_lease(id.parse().unwrap_or(0));
                self.inner.1.notify_all();
                (200, "{}".to_owned())
            }
            // Engines register themselves; how they write is no part of the published interface.
            ("POST", "/standin/put", _) => {
                let key = request.query("key").unwrap_or_default();
                inner.revision += 1;
                inner.put(&key, request.body.clone(), 0);
                self.inner.1.notify_all();
                (200, "{}".to_owned())
            }
            ("POST", "/standin/remove", _) => {
                let key = request.query("key").unwrap_or_default();
                inner.revision += 1;
                inner.remove(&key);
                self.inner.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &json::Value) -> (u16, String) {
        let rows = body.get("expected").list();
        let is_met = rows.iter().all(|row| {
            let known = self
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            Some(known) == row.get("rev").number()
        });
        if !is_met {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        let lease = |put: &json::Value| put.get("lease").number().unwrap_or(0);
        if puts
            .iter()
            .any(|put| lease(put) != 0 && !self.leases.contains_key(&lease(put)))
        {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for put in puts {
            let value = base64::decode(put.get("value").text());
            self.put(put.get("key").text(), value, lease(put));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.revision))
    }
}

fn row(key: &str, item: &Item) -> String {
    let value = base64::encode(&item.value);
    let (rev, created, lease) = (item.revision, item.created, item.lease);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created-rev\":{created},\"lease\":{lease}}}"
    )
}
