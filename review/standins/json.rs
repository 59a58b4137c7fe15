//! A small JSON value with a parser and a writer, and base64.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_blanks();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }
}

impl Display for Json {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(number) => write!(out, "{number}"),
            Json::Text(text) => write!(out, "{}", quoted(text)),
            Json::List(values) => {
                write!(out, "[")?;
                for (index, value) in values.iter().enumerate() {
                    write!(out, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Table(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(out, "{comma}{}:{value}", quoted(name))?;
                }
                write!(out, "}}")
            }
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            letter if (letter as u32) < 32 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_blanks();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.text()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        if self.take(b'}') {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_blanks();
            let name = self.text()?;
            if !self.take(b':') {
                return None;
            }
            fields.insert(name, self.value()?);
            if self.take(b'}') {
                return Some(Json::Table(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut values = Vec::new();
        if self.take(b']') {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(values));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            out.extend(letter.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let digits = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        digits.parse().ok().map(Json::Number)
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
