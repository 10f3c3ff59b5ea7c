//! Backend messages that a node or a stand-in builds or decodes itself.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};

use crate::frame::{Frame, WireError, put};

/// Type identifier of text columns (`pg_type.oid`).
pub const TEXT_OID: u32 = 25;
/// Type identifier of 64-bit integers (`pg_type.oid`).
pub const INT8_OID: u32 = 20;
/// Type identifier of double-precision floats (`pg_type.oid`).
pub const FLOAT8_OID: u32 = 701;
/// Type identifier of byte strings (`pg_type.oid`).
pub const BYTEA_OID: u32 = 17;

const SEVERITY: u8 = b'S';
const SEVERITY_UNTRANSLATED: u8 = b'V';
const CODE: u8 = b'C';
const MESSAGE: u8 = b'M';
const DETAIL: u8 = b'D';

/// Fields of an `ErrorResponse` that linkhold sends and reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorFields {
    /// `ERROR` or `FATAL`.
    pub severity: String,
    /// SQLSTATE.
    pub code: String,
    /// Human-readable message.
    pub message: String,
    /// Detail; in errors from linkhold, key=value pairs.
    pub detail: Option<String>,
}

impl ErrorFields {
    /// Creates an `ERROR`, which leaves the connection usable.
    pub fn error(code: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "ERROR".to_owned(),
            code: code.to_owned(),
            message: message.into(),
            detail: None,
        }
    }

    /// Creates a `FATAL` error, after which the connection ends.
    pub fn fatal(code: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "FATAL".to_owned(),
            ..Self::error(code, message)
        }
    }

    /// Sets the detail.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Reads the fields of an `ErrorResponse`.
    pub fn read(frame: &Frame) -> Result<Self, WireError> {
        let response: ErrorResponse = frame.decode("ErrorResponse")?;
        let field = |wanted: u8| {
            response
                .fields
                .iter()
                .find(|(kind, _)| *kind == wanted)
                .map(|(_, text)| text.clone())
        };
        Ok(Self {
            severity: field(SEVERITY).unwrap_or_default(),
            code: field(CODE).unwrap_or_default(),
            message: field(MESSAGE).unwrap_or_default(),
            detail: field(DETAIL),
        })
    }
}

/// Appends an `ErrorResponse`.
pub fn put_error(buffer: &mut BytesMut, error: &ErrorFields) {
    let mut fields = vec![
        (SEVERITY, error.severity.clone()),
        (SEVERITY_UNTRANSLATED, error.severity.clone()),
        (CODE, error.code.clone()),
        (MESSAGE, error.message.clone()),
    ];
    if let Some(detail) = &error.detail {
        fields.push((DETAIL, detail.clone()));
    }
    put(buffer, &ErrorResponse::new(fields));
}

/// Appends `ReadyForQuery`.
pub fn put_ready(buffer: &mut BytesMut, status: TransactionStatus) {
    put(buffer, &ReadyForQuery::new(status));
}

/// Appends `CommandComplete` with a command tag.
pub fn put_complete(buffer: &mut BytesMut, tag: &str) {
    put(buffer, &CommandComplete::new(tag.to_owned()));
}

/// Appends `EmptyQueryResponse`.
pub fn put_empty_query(buffer: &mut BytesMut) {
    put(buffer, &EmptyQueryResponse::new());
}

/// Appends `ParseComplete`.
pub fn put_parse_complete(buffer: &mut BytesMut) {
    put(buffer, &ParseComplete::new());
}

/// Appends `BindComplete`.
pub fn put_bind_complete(buffer: &mut BytesMut) {
    put(buffer, &BindComplete::new());
}

/// Appends `CloseComplete`.
pub fn put_close_complete(buffer: &mut BytesMut) {
    put(buffer, &CloseComplete::new());
}

/// Appends `NoData`.
pub fn put_no_data(buffer: &mut BytesMut) {
    put(buffer, &NoData::new());
}

/// Appends `ParameterDescription`.
pub fn put_parameter_description(buffer: &mut BytesMut, types: Vec<u32>) {
    put(buffer, &ParameterDescription::new(types));
}

/// Appends `ParameterStatus`.
pub fn put_parameter_status(buffer: &mut BytesMut, name: &str, value: &str) {
    put(
        buffer,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Appends `AuthenticationOk`.
pub fn put_authentication_ok(buffer: &mut BytesMut) {
    put(buffer, &Authentication::Ok);
}

/// Appends `BackendKeyData`.
pub fn put_backend_key(buffer: &mut BytesMut, process: i32, secret: i32) {
    put(
        buffer,
        &BackendKeyData::new(process, SecretKey::I32(secret)),
    );
}

/// Column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultColumn {
    /// Column name.
    pub name: String,
    /// Type identifier.
    pub type_oid: u32,
    /// Format code: 0 is text, 1 is binary.
    pub format: i16,
}

impl ResultColumn {
    /// Creates a column of type text in text format.
    pub fn text(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            type_oid: TEXT_OID,
            format: 0,
        }
    }
}

/// Appends `RowDescription`.
pub fn put_row_description(buffer: &mut BytesMut, columns: &[ResultColumn]) {
    const VARIABLE_SIZE: i16 = -1;
    const NO_MODIFIER: i32 = -1;
    let fields = columns
        .iter()
        .map(|column| {
            FieldDescription::new(
                column.name.clone(),
                0,
                0,
                column.type_oid,
                VARIABLE_SIZE,
                NO_MODIFIER,
                column.format,
            )
        })
        .collect();
    put(buffer, &RowDescription::new(fields));
}

/// Appends a `DataRow`; `None` is null.
pub fn put_data_row(buffer: &mut BytesMut, values: &[Option<Vec<u8>>]) {
    let mut data = BytesMut::new();
    for value in values {
        match value {
            Some(bytes) => {
                data.put_i32(i32::try_from(bytes.len()).expect("values stay below 2 GB"));
                data.put_slice(bytes);
            }
            None => data.put_i32(-1),
        }
    }
    let count = i16::try_from(values.len()).expect("results have fewer than 32768 columns");
    put(buffer, &DataRow::new(data, count));
}

/// Appends a `DataRow` of text values.
pub fn put_text_row(buffer: &mut BytesMut, values: &[&str]) {
    let values: Vec<Option<Vec<u8>>> = values
        .iter()
        .map(|value| Some(value.as_bytes().to_vec()))
        .collect();
    put_data_row(buffer, &values);
}

/// Decodes the values of a `DataRow`; `None` is null.
pub fn read_data_row(frame: &Frame) -> Result<Vec<Option<Vec<u8>>>, WireError> {
    use bytes::Buf;
    let malformed = || WireError::Malformed("DataRow");
    let mut body = frame.body();
    if body.len() < 2 {
        return Err(malformed());
    }
    let count = body.get_u16();
    let mut values = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        if body.len() < 4 {
            return Err(malformed());
        }
        let length = body.get_i32();
        let Ok(length) = usize::try_from(length) else {
            values.push(None);
            continue;
        };
        if body.len() < length {
            return Err(malformed());
        }
        values.push(Some(body.split_to(length).to_vec()));
    }
    Ok(values)
}

/// Returns the transaction status of a `ReadyForQuery` frame.
pub fn ready_status(frame: &Frame) -> Result<TransactionStatus, WireError> {
    let ready: ReadyForQuery = frame.decode("ReadyForQuery")?;
    Ok(ready.status)
}

/// Returns the command tag of a `CommandComplete` frame.
pub fn complete_tag(frame: &Frame) -> Result<String, WireError> {
    let complete: CommandComplete = frame.decode("CommandComplete")?;
    Ok(complete.tag)
}

pub use pgwire::messages::response::TransactionStatus as SessionStatus;
