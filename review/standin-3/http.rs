//! Requests as a server reads them.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name);
        decode(value.map_or("", |(_, value)| value))
    }

    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the lines of a head; `None` at the end of the connection.
pub fn head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

/// The fields of a head, without its first line. Names are in lower case.
pub fn fields(lines: &[String]) -> Vec<(String, String)> {
    let fields = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    fields.collect()
}

/// Reads a request; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(lines) = head(reader)? else {
        return Ok(None);
    };
    let mut words = lines[0].split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = fields(&lines);
    let length = header(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

/// Writes a whole response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}
