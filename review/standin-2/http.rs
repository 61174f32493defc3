//! HTTP/1.1 on blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

/// The first line and the fields of a message, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known == name);
        field.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(known, _)| *known == name);
        values.next().map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Decodes the percent encoding of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = text
            .get(index + 1..index + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the first line and the fields; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.fields.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .field("content-length")
        .and_then(|length| length.parse().ok());
    if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a chunk; `None` at the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    line.clear();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok((length > 0).then_some(chunk))
}

/// Encodes a response with a body.
pub fn whole(status: u16, fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{fields}\r\n{body}").into_bytes()
}

/// Sends a request of the stand-ins themselves, and returns the status and the body of the response.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    read_request(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // Events are small writes that are sent at once.
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || serve(stream));
        }
    });
}
