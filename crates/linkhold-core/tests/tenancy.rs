//! Tenants, credentials and the routes that a caller may use. Guards against a caller
//! that is admitted without a valid credential or as another tenant.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::outcome::NotRun;
use linkhold_core::service::configuration::{Configuration, Consistency, Route};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::{
    ConnectionHolder, Credential, Tenancy, TenancyFinding, Tenant, TenantName,
};

fn tenant(name: &str, secrets: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        credentials: secrets
            .iter()
            .map(|secret| Credential::of_secret(secret.as_bytes()))
            .collect(),
        limit: None,
        regions: AllowedRegions::Everywhere,
    }
}

fn route(is_public: bool) -> Arc<Route> {
    Arc::new(Route {
        service: "ledger".into(),
        consistency: Consistency::Latest,
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(400),
        priority: 1,
        is_public,
        regions: AllowedRegions::Everywhere,
    })
}

fn configuration(tenancy: Option<Tenancy>) -> Configuration {
    Configuration {
        routes: HashMap::from([("own".into(), route(false)), ("open".into(), route(true))]),
        tenancy,
        ..Configuration::default()
    }
}

fn holder_of(
    configuration: &Configuration,
    database: &str,
    secret: Option<&str>,
) -> Result<ConnectionHolder, NotRun> {
    let credential = secret.map(|secret| Credential::of_secret(secret.as_bytes()));
    let admitted = configuration.admit(database, credential.as_ref())?;
    Ok(admitted.holder)
}

#[test]
fn a_caller_is_known_by_any_credential_of_its_tenant() {
    let (tenancy, findings) = Tenancy::new([tenant("press", &["a", "b"]), tenant("radio", &["c"])]);
    assert_eq!(findings, []);
    let configuration = configuration(Some(tenancy));
    let press = ConnectionHolder::Tenant("press".into());
    assert_eq!(
        holder_of(&configuration, "own", Some("a")),
        Ok(press.clone())
    );
    assert_eq!(
        holder_of(&configuration, "own", Some("b")),
        Ok(press.clone())
    );
    assert_eq!(holder_of(&configuration, "open", Some("b")), Ok(press));
    let denied = Err(NotRun::UnknownCredential);
    assert_eq!(holder_of(&configuration, "own", Some("press")), denied);
    assert_eq!(holder_of(&configuration, "own", None), denied);
    let anonymous = Ok(ConnectionHolder::NoTenant);
    assert_eq!(holder_of(&configuration, "open", None), anonymous);
    assert_eq!(
        holder_of(&configuration, "gone", Some("a")),
        Err(NotRun::UnknownDatabase)
    );
}

#[test]
fn callers_are_not_told_apart_where_there_are_no_tenants() {
    let configuration = configuration(None);
    let anonymous = Ok(ConnectionHolder::NoTenant);
    assert_eq!(holder_of(&configuration, "own", Some("a")), anonymous);
    assert_eq!(holder_of(&configuration, "own", None), anonymous);
}

#[test]
fn an_empty_list_of_tenants_admits_nobody() {
    let configuration = configuration(Some(Tenancy::default()));
    let denied = Err(NotRun::UnknownCredential);
    assert_eq!(holder_of(&configuration, "own", Some("a")), denied);
}

#[test]
fn faulty_tenants_are_reported_and_left_out() {
    let listed = [
        tenant("press", &["a", "shared"]),
        tenant("radio", &["shared"]),
        tenant("mute", &[]),
        tenant("press", &["late"]),
    ];
    let (tenancy, findings) = Tenancy::new(listed);
    let name = |name: &str| TenantName::from(name);
    assert_eq!(
        findings,
        [
            TenancyFinding::SharedCredential(name("press"), name("radio")),
            TenancyFinding::NoCredential(name("mute")),
            TenancyFinding::ListedTwice(name("press")),
        ]
    );
    let tenant_of = |secret: &str| tenancy.tenant_of(&Credential::of_secret(secret.as_bytes()));
    assert_eq!(tenant_of("a"), Some(&name("press")));
    assert_eq!(tenant_of("shared"), None);
    assert_eq!(tenant_of("late"), None);
}

#[test]
fn a_credential_shows_nothing_of_its_secret() {
    let shown = format!("{:?}", Credential::of_secret(b"hunter2"));
    assert_eq!(shown, "Credential(hidden)");
    let named = format!("{:?}", tenant("press", &["hunter2"]));
    assert!(!named.contains("hunter2"));
}
