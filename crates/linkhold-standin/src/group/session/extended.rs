//! The extended query protocol: prepared statements and portals.

use linkhold_wire::frontend::{DescribeOrClose, Target};
use linkhold_wire::reply::{self, TEXT_OID};
use linkhold_wire::{Frame, WireError};
use pgwire::messages::extendedquery::{Bind, Execute, Parse, PortalSuspended};
use rusqlite::types::Value;
use tokio::net::TcpStream;

use super::special::{is_session_command, session_command_columns};
use super::{INVALID_PARAMETER, Portal, Prepared, Session, UNDEFINED_CURSOR, UNDEFINED_STATEMENT};
use super::{command_tag, result_columns};
use crate::group::engine::{Description, SqlError};
use crate::group::values::decode;

impl Session {
    pub(super) async fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let description = if is_session_command(&parse.query) {
            Description {
                columns: session_command_columns(&parse.query),
                parameters: 0,
                read_only: true,
            }
        } else {
            self.describe_text(&parse.query).await?
        };
        let mut types = parse.type_oids;
        types.resize(description.parameters, 0);
        for type_oid in types.iter_mut().filter(|oid| **oid == 0) {
            *type_oid = TEXT_OID;
        }
        let statement = Prepared {
            text: parse.query.into(),
            types,
            description,
        };
        self.statements
            .insert(parse.name.unwrap_or_default(), statement);
        reply::put_parse_complete(&mut self.output);
        Ok(())
    }

    pub(super) fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let name = bind.statement_name.clone().unwrap_or_default();
        let statement = self.statement(&name)?;
        let format_of = |index: usize| match bind.parameter_format_codes.as_slice() {
            [] => 0,
            [all] => *all,
            each => each.get(index).copied().unwrap_or(0),
        };
        let parameters: Option<Vec<Value>> = bind
            .parameters
            .iter()
            .enumerate()
            .map(|(index, bytes)| {
                let type_oid = statement.types.get(index).copied().unwrap_or(TEXT_OID);
                decode(bytes.as_deref(), type_oid, format_of(index))
            })
            .collect();
        let Some(parameters) = parameters else {
            return Err(SqlError {
                code: INVALID_PARAMETER,
                message: "a parameter does not fit its type".to_owned(),
            });
        };
        let portal = Portal {
            statement,
            parameters,
            result_formats: bind.result_column_format_codes,
            started: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        reply::put_bind_complete(&mut self.output);
        Ok(())
    }

    pub(super) fn statement(&self, name: &str) -> Result<Prepared, SqlError> {
        self.statements.get(name).cloned().ok_or_else(|| SqlError {
            code: UNDEFINED_STATEMENT,
            message: format!("prepared statement \"{name}\" does not exist"),
        })
    }

    pub(super) fn portal(&mut self, name: &str) -> Result<&mut Portal, SqlError> {
        self.portals.get_mut(name).ok_or_else(|| SqlError {
            code: UNDEFINED_CURSOR,
            message: format!("portal \"{name}\" does not exist"),
        })
    }

    pub(super) fn describe(&mut self, message: &DescribeOrClose) -> Result<(), SqlError> {
        let (columns, formats) = match message.target {
            Target::Statement => {
                let statement = self.statement(&message.name)?;
                reply::put_parameter_description(&mut self.output, statement.types);
                (statement.description.columns, Vec::new())
            }
            Target::Portal => {
                let portal = self.portal(&message.name)?;
                let columns = portal.statement.description.columns.clone();
                (columns, portal.result_formats.clone())
            }
        };
        if columns.is_empty() {
            reply::put_no_data(&mut self.output);
        } else {
            let columns = result_columns(&columns, &formats);
            reply::put_row_description(&mut self.output, &columns);
        }
        Ok(())
    }

    pub(super) async fn execute(
        &mut self,
        execute: Execute,
        stream: &mut TcpStream,
    ) -> Result<Result<(), SqlError>, WireError> {
        let name = execute.name.unwrap_or_default();
        let portal = match self.portals.remove(&name) {
            Some(portal) => portal,
            None => {
                return Ok(Err(SqlError {
                    code: UNDEFINED_CURSOR,
                    message: format!("portal \"{name}\" does not exist"),
                }));
            }
        };
        let text = portal.statement.text.clone();
        if let Some(result) = self.run_session_command(&text, false).await {
            self.portals.insert(name, portal);
            return Ok(result.map(|tag| reply::put_complete(&mut self.output, &tag)));
        }
        match self.start_portal(portal).await {
            Ok(portal) => {
                let portal = self.send_rows(portal, execute.max_rows, stream).await?;
                self.portals.insert(name, portal);
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    pub(super) async fn start_portal(&mut self, mut portal: Portal) -> Result<Portal, SqlError> {
        if portal.started.is_none() {
            let statement = &portal.statement;
            let outcome = self
                .run_statement(&statement.text, &portal.parameters, &statement.description)
                .await?;
            let tag = command_tag(&statement.text, &outcome);
            portal.started = Some((outcome.rows.into(), tag));
        }
        Ok(portal)
    }

    pub(super) async fn send_rows(
        &mut self,
        mut portal: Portal,
        max_rows: i32,
        stream: &mut TcpStream,
    ) -> Result<Portal, WireError> {
        let columns = result_columns(
            &portal.statement.description.columns,
            &portal.result_formats,
        );
        let (rows, tag) = portal.started.as_mut().expect("the portal was started");
        let limit = usize::try_from(max_rows).ok().filter(|limit| *limit > 0);
        let count = limit.map_or(rows.len(), |limit| limit.min(rows.len()));
        for row in rows.drain(..count).collect::<Vec<_>>() {
            self.put_row(&row, &columns, stream).await?;
        }
        if rows.is_empty() {
            reply::put_complete(&mut self.output, tag);
        } else {
            let suspended = Frame::encode(&PortalSuspended::new());
            self.output.extend_from_slice(suspended.bytes());
        }
        Ok(portal)
    }

    pub(super) fn close(&mut self, message: &DescribeOrClose) {
        match message.target {
            Target::Statement => {
                self.statements.remove(&message.name);
            }
            Target::Portal => {
                self.portals.remove(&message.name);
            }
        }
        reply::put_close_complete(&mut self.output);
    }
}
