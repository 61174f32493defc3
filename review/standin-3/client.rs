//! A client of the gateway.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// 0 if there was no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as the protocol marks the end: by its length, or by the last chunk.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        http::header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn send(address: SocketAddr, method: &str, path: &str, fields: &str, body: &str) -> Response {
    match connect(address) {
        Ok(mut connection) => send_on(&mut connection, method, path, fields, body),
        Err(_) => Response::default(),
    }
}

pub fn connect(address: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

/// Sends a request on an open connection and reads the answer.
pub fn send_on(
    connection: &mut BufReader<TcpStream>,
    method: &str,
    path: &str,
    fields: &str,
    body: &str,
) -> Response {
    let mut response = Response::default();
    // What was received before an error counts.
    let _ = exchange(connection, method, path, fields, body, &mut response);
    response
}

fn exchange(
    reader: &mut BufReader<TcpStream>,
    method: &str,
    path: &str,
    fields: &str,
    body: &str,
    response: &mut Response,
) -> io::Result<()> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: office.example\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    );
    reader.get_mut().write_all(request.as_bytes())?;
    let Some(lines) = http::head(reader)? else {
        return Ok(());
    };
    let status = lines[0].split(' ').nth(1).unwrap_or_default();
    response.status = status.parse().unwrap_or(0);
    response.headers = http::fields(&lines);
    if response.header("transfer-encoding") == "chunked" {
        return read_chunks(reader, response);
    }
    let length: usize = response.header("content-length").parse().unwrap_or(0);
    while response.body.len() < length {
        let mut bytes = vec![0; length - response.body.len()];
        let count = reader.read(&mut bytes)?;
        if count == 0 {
            return Ok(());
        }
        response.body.extend_from_slice(&bytes[..count]);
    }
    response.is_complete = true;
    Ok(())
}

fn read_chunks(reader: &mut BufReader<TcpStream>, response: &mut Response) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut bytes = vec![0; size + 2];
        reader.read_exact(&mut bytes)?;
        response.body.extend_from_slice(&bytes[..size]);
        if size == 0 {
            response.is_complete = true;
            return Ok(());
        }
    }
}
