//! Checked views of frontend messages.
//!
//! Each view verifies the whole layout of its message, so that the node rejects a
//! malformed frame before it reaches a back end. Fields that routing does not
//! need stay as raw bytes.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::frame::{Frame, WireError};
use crate::kind;

/// Reads a `Query` message and returns its SQL text.
pub fn query_text(frame: &Frame) -> Result<String, WireError> {
    let mut fields = Fields::new(frame, "Query");
    let text = fields.text()?;
    fields.finish()?;
    Ok(text)
}

/// `Parse`: prepares a statement under a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parse {
    /// Statement name; empty for the unnamed statement.
    pub name: String,
    /// SQL text.
    pub query: String,
    /// Parameter types, as sent.
    pub parameter_types: Bytes,
}

impl Parse {
    /// Reads and checks a `Parse` message.
    pub fn read(frame: &Frame) -> Result<Self, WireError> {
        let mut fields = Fields::new(frame, "Parse");
        let name = fields.text()?;
        let query = fields.text()?;
        let parameter_types = fields.rest.clone();
        let count = usize::from(fields.u16()?);
        fields.skip(4 * count)?;
        fields.finish()?;
        Ok(Self {
            name,
            query,
            parameter_types,
        })
    }

    /// Appends the message with `name` as the statement name.
    pub fn write(&self, buffer: &mut BytesMut, name: &str) {
        let length = 4 + name.len() + 1 + self.query.len() + 1 + self.parameter_types.len();
        put_header(buffer, kind::PARSE, length);
        put_text(buffer, name);
        put_text(buffer, &self.query);
        buffer.put_slice(&self.parameter_types);
    }
}

/// `Bind`: binds parameter values to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bind {
    /// Portal name; empty for the unnamed portal.
    pub portal: String,
    /// Statement name.
    pub statement: String,
    /// Formats and values, as sent.
    pub values: Bytes,
}

impl Bind {
    /// Reads and checks a `Bind` message.
    pub fn read(frame: &Frame) -> Result<Self, WireError> {
        let mut fields = Fields::new(frame, "Bind");
        let portal = fields.text()?;
        let statement = fields.text()?;
        let values = fields.rest.clone();
        let format_count = usize::from(fields.u16()?);
        fields.skip(2 * format_count)?;
        let value_count = fields.u16()?;
        for _ in 0..value_count {
            fields.skip_value()?;
        }
        let result_format_count = usize::from(fields.u16()?);
        fields.skip(2 * result_format_count)?;
        fields.finish()?;
        Ok(Self {
            portal,
            statement,
            values,
        })
    }

    /// Appends the message with `statement` as the statement name.
    pub fn write(&self, buffer: &mut BytesMut, statement: &str) {
        let length = 4 + self.portal.len() + 1 + statement.len() + 1 + self.values.len();
        put_header(buffer, kind::BIND, length);
        put_text(buffer, &self.portal);
        put_text(buffer, statement);
        buffer.put_slice(&self.values);
    }
}

/// Kind of object that a `Describe` or `Close` message refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// `Describe` or `Close` of a statement or a portal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescribeOrClose {
    /// Statement or portal.
    pub target: Target,
    /// Name of the statement or portal.
    pub name: String,
}

impl DescribeOrClose {
    /// Reads and checks a `Describe` or `Close` message.
    pub fn read(frame: &Frame) -> Result<Self, WireError> {
        let mut fields = Fields::new(frame, "Describe or Close");
        let target = match fields.u8()? {
            b'S' => Target::Statement,
            b'P' => Target::Portal,
            _ => return Err(WireError::Malformed("Describe or Close")),
        };
        let name = fields.text()?;
        fields.finish()?;
        Ok(Self { target, name })
    }

    /// Appends the message as type `kind` with `name` as the object name.
    pub fn write(&self, buffer: &mut BytesMut, kind: u8, name: &str) {
        put_header(buffer, kind, 4 + 1 + name.len() + 1);
        buffer.put_u8(match self.target {
            Target::Statement => b'S',
            Target::Portal => b'P',
        });
        put_text(buffer, name);
    }
}

/// Reads an `Execute` message and returns the portal name.
pub fn execute_portal(frame: &Frame) -> Result<String, WireError> {
    let mut fields = Fields::new(frame, "Execute");
    let portal = fields.text()?;
    fields.skip(4)?;
    fields.finish()?;
    Ok(portal)
}

/// Appends a `Query` message.
pub fn put_query(buffer: &mut BytesMut, text: &str) {
    put_header(buffer, kind::QUERY, 4 + text.len() + 1);
    put_text(buffer, text);
}

/// Appends a `Sync` message.
pub fn put_sync(buffer: &mut BytesMut) {
    put_header(buffer, kind::SYNC, 4);
}

/// Appends a `Flush` message.
pub fn put_flush(buffer: &mut BytesMut) {
    put_header(buffer, kind::FLUSH, 4);
}

fn put_header(buffer: &mut BytesMut, kind: u8, length: usize) {
    buffer.reserve(length + 1);
    buffer.put_u8(kind);
    buffer.put_u32(u32::try_from(length).expect("messages stay below the frame limit"));
}

fn put_text(buffer: &mut BytesMut, text: &str) {
    buffer.put_slice(text.as_bytes());
    buffer.put_u8(0);
}

/// Reads the fields of a body in order, never past its end.
struct Fields {
    rest: Bytes,
    message: &'static str,
}

impl Fields {
    fn new(frame: &Frame, message: &'static str) -> Self {
        Self {
            rest: frame.body(),
            message,
        }
    }

    fn malformed(&self) -> WireError {
        WireError::Malformed(self.message)
    }

    fn need(&self, count: usize) -> Result<(), WireError> {
        if self.rest.len() < count {
            return Err(self.malformed());
        }
        Ok(())
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        self.need(1)?;
        Ok(self.rest.get_u8())
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        self.need(2)?;
        Ok(self.rest.get_u16())
    }

    fn skip(&mut self, count: usize) -> Result<(), WireError> {
        self.need(count)?;
        self.rest.advance(count);
        Ok(())
    }

    /// Skips a length-prefixed value; a length of -1 is null.
    fn skip_value(&mut self) -> Result<(), WireError> {
        self.need(4)?;
        let length = self.rest.get_i32();
        match usize::try_from(length) {
            Ok(length) => self.skip(length),
            Err(_) if length == -1 => Ok(()),
            Err(_) => Err(self.malformed()),
        }
    }

    /// Reads a zero-terminated UTF-8 string.
    fn text(&mut self) -> Result<String, WireError> {
        let end = self
            .rest
            .iter()
            .position(|byte| *byte == 0)
            .ok_or_else(|| self.malformed())?;
        let bytes = self.rest.split_to(end);
        self.rest.advance(1);
        String::from_utf8(bytes.into()).map_err(|_| self.malformed())
    }

    fn finish(self) -> Result<(), WireError> {
        if self.rest.is_empty() {
            Ok(())
        } else {
            Err(self.malformed())
        }
    }
}
