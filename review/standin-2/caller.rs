//! A caller: sends one request on a new connection and reads the answer.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

#[derive(Clone, Debug)]
pub struct Call {
    pub host: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub attempt: String,
    pub deadline: Duration,
    pub key: &'static str,
    pub body: String,
    pub fields: String,
    /// Whether another request, to a route that does not exist, goes first on the connection.
    pub is_second: bool,
}

/// What the caller saw.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    /// Whether the answer ended as the protocol says that it does.
    pub is_complete: bool,
    /// When the first byte of the request was written, and when the answer or its connection ended.
    pub sent: Option<Instant>,
    pub ended: Option<Instant>,
}

impl Answer {
    /// Ids of the events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        ids.collect()
    }
}

impl Call {
    pub fn send(&self, record: &Record) -> Answer {
        record.line(&format!(
            "caller sends {} ({} {}) with {}",
            self.attempt, self.method, self.path, self.key
        ));
        let mut answer = Answer::default();
        let _ = self.exchange(&mut answer);
        answer.ended = Some(Instant::now());
        let seal = answer.seal.as_deref().unwrap_or("none");
        let end = if answer.is_complete {
            "complete"
        } else {
            "not complete"
        };
        let bytes = answer.body.len();
        record.line(&format!(
            "caller got {}: status {}, seal {seal}, {bytes} bytes, {end}",
            self.attempt, answer.status
        ));
        answer
    }

    fn exchange(&self, answer: &mut Answer) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.host, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(self.deadline + Duration::from_secs(1)))?;
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: office.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
            Authorization: Bearer {}\r\nContent-Length: {}\r\n{}\r\n",
            self.method,
            self.path,
            self.attempt,
            self.deadline.as_millis(),
            self.key,
            self.body.len(),
            self.fields
        );
        let mut reader = BufReader::new(stream.try_clone()?);
        if self.is_second {
            stream.write_all(b"GET /none/1 HTTP/1.1\r\nHost: office.example\r\n\r\n")?;
            http::read_request(&mut reader)?;
        }
        answer.sent = Some(Instant::now());
        stream.write_all(format!("{head}{}", self.body).as_bytes())?;
        let Some(head) = http::read_head(&mut reader)? else {
            return Ok(());
        };
        answer.status = head.status();
        answer.seal = head.field("x-response-seal").map(str::to_owned);
        let length: Option<usize> = head
            .field("content-length")
            .and_then(|length| length.parse().ok());
        if let Some(length) = length {
            let mut rest = reader.take(length as u64);
            rest.read_to_end(&mut answer.body)?;
            answer.is_complete = answer.body.len() == length;
        } else if head.field("transfer-encoding").is_some() {
            while let Some(chunk) = http::read_chunk(&mut reader)? {
                answer.body.extend(chunk);
            }
            answer.is_complete = true;
        }
        Ok(())
    }
}
