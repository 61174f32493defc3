//! A reader of JSON, as far as the stand-ins need it.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Self::Table(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Self::Null, |(_, value)| value),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }
}

/// Reads a document; `Null` if it cannot be read.
pub fn read(text: &str) -> Value {
    let bytes = text.as_bytes();
    value(bytes, &mut 0).unwrap_or(Value::Null)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            let mut rows = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let key = string(bytes, at)?;
                        skip(bytes, at);
                        *at += 1;
                        rows.push((key, value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Value::Table(rows))
        }
        b'[' => {
            let mut values = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => values.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Value::List(values))
        }
        b'"' => string(bytes, at).map(Value::Text),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| !b",]} \n\r\t".contains(byte))
            {
                *at += 1;
            }
            match core::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Value::Null),
                "true" => Some(Value::Flag(true)),
                "false" => Some(Value::Flag(false)),
                number => number.parse().ok().map(Value::Number),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut text = Vec::new();
    *at += 1;
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'u' => {
                        let code = core::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        text.extend(char::from_u32(code)?.encode_utf8(&mut buffer).bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(text).ok()
}
