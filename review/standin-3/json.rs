//! A small JSON reader.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as they were written.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value()
    }

    pub fn get(&self, key: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) | Self::Number(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        self.text().parse().unwrap_or(0)
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let is_there = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_there);
        is_there
    }

    fn value(&mut self) -> Option<Value> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.items(),
            b'"' => self.string().map(Value::Text),
            _ => self.word(),
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.at += 1;
        let mut table = BTreeMap::new();
        while !self.take(b'}') {
            self.skip();
            let key = self.string()?;
            if !self.take(b':') {
                return None;
            }
            table.insert(key, self.value()?);
            self.take(b',');
        }
        Some(Value::Table(table))
    }

    fn items(&mut self) -> Option<Value> {
        self.at += 1;
        let mut list = Vec::new();
        while !self.take(b']') {
            list.push(self.value()?);
            self.take(b',');
        }
        Some(Value::List(list))
    }

    /// Escapes other than `\"`, `\\` and `\/` do not occur in the messages of the case.
    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                other => text.push(other),
            }
        }
    }

    fn word(&mut self) -> Option<Value> {
        let start = self.at;
        let is_word = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_word) {
            self.at += 1;
        }
        let word = core::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        match word {
            "" => None,
            "null" => Some(Value::Null),
            "true" => Some(Value::Bool(true)),
            "false" => Some(Value::Bool(false)),
            number => Some(Value::Number(number.to_owned())),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = (word >> (18 - 6 * place)) & 63;
            text.push(if place <= chunk.len() {
                DIGITS[digit as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

/// Reads standard base64.
pub fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .filter_map(|digit| u32::try_from(digit).ok())
        .collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let mut word = 0;
        for digit in chunk {
            word = (word << 6) | digit;
        }
        word <<= 6 * (4 - chunk.len());
        bytes.extend_from_slice(&word.to_be_bytes()[1..chunk.len()]);
    }
    bytes
}
