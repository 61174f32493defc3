//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::Value;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

/// Items and revision of a store at a moment.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
}

#[derive(Default)]
struct Inner {
    /// Rises by one each time that the store comes back from a copy.
    era: u64,
    /// Whether calls get 503.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, in order.
    events: Vec<(u64, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Inner {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map(|item| item.created);
        let revision = self.revision;
        let created = created.unwrap_or(revision);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.events.push((revision, row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let row = format!(r#"{{"key":"{key}","rev":{revision},"tombstone":true}}"#);
            self.events.push((revision, row));
        }
    }

    fn expire(&mut self) {
        let ended = self.leases.iter();
        let ended = ended.filter(|(_, (_, until))| *until <= Instant::now());
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    let value = json::base64(&item.value);
    let (revision, created, lease) = (item.revision, item.created, item.lease);
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{revision},"created-rev":{created},"lease":{lease}}}"#
    )
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let inner = Inner {
            era: 1,
            revision: 100,
            ..Inner::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(inner), Condvar::new())),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.change(Inner::expire);
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|inner| {
            inner.revision += 1;
            inner.put(key, value.as_bytes().to_vec(), 0);
        });
    }

    /// Copies the store as it is.
    pub fn copy(&self) -> Copy {
        self.change(|inner| Copy {
            revision: inner.revision,
            items: inner.items.clone(),
            leases: inner.leases.clone(),
        })
    }

    /// Lets calls fail from now on; nothing is done for them. Watches are cut.
    pub fn leave(&self) {
        self.change(|inner| inner.is_away = true);
    }

    /// Comes back from a copy. Its leases have run on since.
    pub fn restore(&self, copy: Copy) {
        self.change(|inner| {
            *inner = Inner {
                era: inner.era + 1,
                revision: copy.revision,
                items: copy.items,
                leases: copy.leases,
                ..Inner::default()
            };
            inner.expire();
        });
    }

    fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.shared.0.lock().unwrap();
        let result = change(&mut inner);
        drop(inner);
        self.shared.1.notify_all();
        result
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader).ok()??;
            let (status, body) = self.answer(&request);
            let (era, is_away) = self.change(|inner| (inner.era, inner.is_away));
            let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            let (status, body) = if is_away {
                (503, String::new())
            } else {
                (status, body)
            };
            http::respond(&mut writer, status, &fields, body.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if self.change(|inner| inner.is_away) {
            return (503, String::new());
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Value::parse(&body).unwrap_or(Value::Null);
        let call = request.path().trim_start_matches("/agatemill/").to_owned();
        let (call, id) = call.split_once('/').unwrap_or((&call, ""));
        match call {
            "kv-range" => self.range(&request.query("path-prefix"), &request.query("after")),
            "kv-key" => self.key(&request.query("key")),
            "kv-watch" => self.watch(request),
            "kv-txn" => self.change(|inner| transact(inner, &body)),
            "kv-lease" => self.change(|inner| {
                inner.revision += 1;
                let (lease, ttl) = (inner.revision, body.get("ttl-ms").number());
                let time = Duration::from_millis(ttl);
                inner.leases.insert(lease, (time, Instant::now() + time));
                (200, format!(r#"{{"lease":{lease},"ttl-ms":{ttl}}}"#))
            }),
            "kv-keep" => self.change(|inner| {
                inner.expire();
                let lease = inner.leases.get_mut(&id.parse().unwrap_or(0));
                lease.map_or((404, "{}".to_owned()), |(time, until)| {
                    *until = Instant::now() + *time;
                    (200, format!(r#"{{"ttl-ms":{}}}"#, time.as_millis()))
                })
            }),
            "kv-lease-end" => self.change(|inner| {
                inner.end_lease(id.parse().unwrap_or(0));
                (200, "{}".to_owned())
            }),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        self.change(|inner| {
            let items = inner.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let items: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
            let (items, revision) = (items.join(","), inner.revision);
            let body =
                format!(r#"{{"items":[{items}],"more-pages":false,"current-rev":{revision}}}"#);
            (200, body)
        })
    }

    fn key(&self, key: &str) -> (u16, String) {
        self.change(|inner| match inner.items.get(key) {
            Some(item) => (200, row(key, item)),
            None => (404, "{}".to_owned()),
        })
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.shared.0.lock().unwrap();
        let era = inner.era;
        loop {
            if inner.era != era || inner.is_away || after > inner.revision {
                return (410, "{}".to_owned());
            }
            let events = inner
                .events
                .iter()
                .filter(|(revision, _)| *revision > after);
            let events: Vec<&str> = events.map(|(_, row)| row.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), inner.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"current-rev":{revision}}}"#),
                );
            }
            inner = self.shared.1.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn transact(inner: &mut Inner, body: &Value) -> (u16, String) {
    inner.expire();
    let is_met = |row: &Value| {
        let item = inner.items.get(row.get("key").text());
        item.map_or(0, |item| item.revision) == row.get("rev").number()
    };
    if !body.get("expected").list().iter().all(is_met) {
        return (412, r#"{"items":[]}"#.to_owned());
    }
    let leases = body.get("puts").list().iter();
    let mut leases = leases.map(|row| row.get("lease").number());
    if leases.any(|lease| lease != 0 && !inner.leases.contains_key(&lease)) {
        return (404, "{}".to_owned());
    }
    inner.revision += 1;
    for row in body.get("puts").list() {
        let value = json::from_base64(row.get("value").text());
        inner.put(row.get("key").text(), value, row.get("lease").number());
    }
    for key in body.get("remove").list() {
        inner.remove(key.text());
    }
    (200, format!(r#"{{"rev":{}}}"#, inner.revision))
}
