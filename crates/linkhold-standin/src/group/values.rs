//! Conversion between SQLite values and the wire's text and binary formats.

use linkhold_wire::reply::{BYTEA_OID, FLOAT8_OID, INT8_OID, TEXT_OID};
use rusqlite::types::Value;

const INT4_OID: u32 = 23;
const INT2_OID: u32 = 21;
const BINARY_FORMAT: i16 = 1;

/// Returns the type OID of a declared column type; expressions, which have none, are
/// text.
pub fn column_type(declared: Option<&str>) -> u32 {
    match declared.map(str::to_ascii_uppercase).as_deref() {
        Some("INTEGER" | "BIGINT") => INT8_OID,
        Some("REAL") => FLOAT8_OID,
        Some("BLOB") => BYTEA_OID,
        _ => TEXT_OID,
    }
}

/// Encodes a value for a result column; null is `None`.
pub fn encode(value: &Value, type_oid: u32, format: i16) -> Option<Vec<u8>> {
    let binary = format == BINARY_FORMAT;
    match value {
        Value::Null => None,
        Value::Integer(number) if binary && type_oid == INT8_OID => {
            Some(number.to_be_bytes().to_vec())
        }
        Value::Integer(number) => Some(number.to_string().into_bytes()),
        Value::Real(number) if binary && type_oid == FLOAT8_OID => {
            Some(number.to_be_bytes().to_vec())
        }
        Value::Real(number) => Some(number.to_string().into_bytes()),
        Value::Text(text) => Some(text.clone().into_bytes()),
        Value::Blob(bytes) => Some(bytes.clone()),
    }
}

/// Decodes a bound parameter; `None` if the bytes are invalid for the type.
pub fn decode(bytes: Option<&[u8]>, type_oid: u32, format: i16) -> Option<Value> {
    let Some(bytes) = bytes else {
        return Some(Value::Null);
    };
    if format == BINARY_FORMAT {
        return decode_binary(bytes, type_oid);
    }
    let text = std::str::from_utf8(bytes).ok()?;
    match type_oid {
        INT8_OID | INT4_OID | INT2_OID => text.parse().ok().map(Value::Integer),
        FLOAT8_OID => text.parse().ok().map(Value::Real),
        _ => Some(Value::Text(text.to_owned())),
    }
}

fn decode_binary(bytes: &[u8], type_oid: u32) -> Option<Value> {
    match type_oid {
        INT8_OID => Some(Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?))),
        INT4_OID => {
            let number = i32::from_be_bytes(bytes.try_into().ok()?);
            Some(Value::Integer(i64::from(number)))
        }
        INT2_OID => {
            let number = i16::from_be_bytes(bytes.try_into().ok()?);
            Some(Value::Integer(i64::from(number)))
        }
        FLOAT8_OID => Some(Value::Real(f64::from_be_bytes(bytes.try_into().ok()?))),
        BYTEA_OID => Some(Value::Blob(bytes.to_vec())),
        _ => String::from_utf8(bytes.to_vec()).ok().map(Value::Text),
    }
}
