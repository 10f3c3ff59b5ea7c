//! A small JSON reader, and base64.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &[u8]) -> Option<Json> {
    let mut at = 0;
    value(text, &mut at)
}

fn skip(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(text, at)?;
                        skip(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        b'"' => string(text, at).map(Json::Text),
        b't' => word(text, at, "true", Json::Bool(true)),
        b'f' => word(text, at, "false", Json::Bool(false)),
        b'n' => word(text, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < text.len() && b"+-.eE0123456789".contains(&text[*at]) {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[from..*at]).ok()?;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn word(text: &[u8], at: &mut usize, word: &str, json: Json) -> Option<Json> {
    if !text[*at..].starts_with(word.as_bytes()) {
        return None;
    }
    *at += word.len();
    Some(json)
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                *at += 1;
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let sign = char::from_u32(code)?;
                        bytes.extend_from_slice(sign.to_string().as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
            byte => {
                bytes.push(byte);
                *at += 1;
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for sign in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == sign) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

pub fn quoted(text: &str) -> String {
    let mut output = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' | '\\' => {
                output.push('\\');
                output.push(sign);
            }
            sign if (sign as u32) < 32 => output.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => output.push(sign),
        }
    }
    output.push('"');
    output
}
