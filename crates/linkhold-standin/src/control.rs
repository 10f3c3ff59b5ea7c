//! HTTP control of stand-ins that run as a separate process.
//!
//! `POST /instances/{i}/{action}` with action `crash`, `restart`, `isolate`
//! or `heal`; `POST /instances/{i}/lag?milliseconds=N` and
//! `.../answer-delay?milliseconds=N`; `GET /reports`; `GET /records`;
//! `POST /machines/{i}/{state}` lists an instance's machine as `live` or
//! `leaving`; `POST /platform?down=&delay_milliseconds=&lose_edit_answers=`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::group::{Group, LagProfile};
use crate::platform::{Machine, Platform, PlatformFaults};

/// The stand-ins of a process.
pub struct StandIns {
    /// The database group.
    pub group: Group,
    /// The platform.
    pub platform: Platform,
}

type Shared = Arc<StandIns>;

/// Binds the control server; returns its address and the future that serves it.
pub async fn bind(
    standins: Shared,
    port: u16,
) -> std::io::Result<(SocketAddr, impl Future<Output = std::io::Result<()>>)> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let address = listener.local_addr()?;
    let router = axum::Router::new()
        .route("/instances/{instance}/{action}", post(act))
        .route("/reports", get(reports))
        .route("/records", get(records))
        .route("/machines/{instance}/{state}", post(list_machine))
        .route("/platform", post(set_platform))
        .with_state(standins);
    Ok((address, async move { axum::serve(listener, router).await }))
}

#[derive(Deserialize)]
struct Amount {
    #[serde(default)]
    milliseconds: u64,
}

async fn act(
    State(standins): State<Shared>,
    Path((instance, action)): Path<(usize, String)>,
    Query(amount): Query<Amount>,
) -> Response {
    let group = &standins.group;
    if instance >= group.addresses().len() {
        return StatusCode::NOT_FOUND.into_response();
    }
    let duration = Duration::from_millis(amount.milliseconds);
    match action.as_str() {
        "crash" => group.crash(instance),
        "restart" => group.restart(instance),
        "isolate" => group.isolate(instance),
        "heal" => group.heal(instance),
        "lag" => group.set_lag(instance, LagProfile::Fixed(duration)),
        "answer-delay" => group.set_answer_delay(instance, duration),
        _ => return StatusCode::NOT_FOUND.into_response(),
    }
    StatusCode::NO_CONTENT.into_response()
}

async fn reports(State(standins): State<Shared>) -> Response {
    Json(standins.group.reports()).into_response()
}

async fn records(State(standins): State<Shared>) -> Response {
    Json(standins.group.records()).into_response()
}

async fn list_machine(
    State(standins): State<Shared>,
    Path((instance, state)): Path<(usize, String)>,
) -> Response {
    let addresses = standins.group.addresses();
    let machines = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| Machine {
            address: address.to_string(),
            state: if index == instance { &state } else { "live" }.to_owned(),
        })
        .collect();
    standins.platform.set_machines(machines);
    StatusCode::NO_CONTENT.into_response()
}

#[derive(Deserialize)]
struct PlatformQuery {
    #[serde(default)]
    down: bool,
    #[serde(default)]
    delay_milliseconds: u64,
    #[serde(default)]
    lose_edit_answers: u32,
}

async fn set_platform(
    State(standins): State<Shared>,
    Query(query): Query<PlatformQuery>,
) -> Response {
    standins.platform.set_faults(PlatformFaults {
        down: query.down,
        delay: Duration::from_millis(query.delay_milliseconds),
        lose_edit_answers: query.lose_edit_answers,
    });
    StatusCode::NO_CONTENT.into_response()
}
