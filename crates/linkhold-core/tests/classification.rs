//! Classification of statements. Guards against statements with effects that are sent
//! to a replica, and against session features that leak through transaction pooling.

use linkhold_core::classify::{Access, StatementKind, Unsupported, classify};

fn access(text: &str) -> Access {
    classify(text).access()
}

#[test]
fn plain_reads_may_go_to_a_replica() {
    let reads = [
        "SELECT 1",
        "select title from episodes where id = $1 order by title limit 10",
        "SELECT count(*), max(published) FROM episodes GROUP BY show",
        "WITH recent AS (SELECT * FROM episodes) SELECT * FROM recent",
        "SELECT a.id FROM a JOIN b ON a.id = b.id WHERE lower(b.x) = 'y'",
        "VALUES (1), (2)",
        "SELECT 1 UNION ALL SELECT 2",
        "EXPLAIN SELECT 1",
        "SHOW search_path",
        "SELECT 1; SELECT 2",
    ];
    for text in reads {
        assert_eq!(access(text), Access::Read, "{text}");
    }
}

#[test]
fn anything_doubtful_goes_to_the_primary() {
    let writes = [
        "INSERT INTO t VALUES (1)",
        "UPDATE t SET x = 1",
        "DELETE FROM t",
        "SELECT * FROM t FOR UPDATE",
        "SELECT * FROM t FOR SHARE",
        "SELECT * FROM (SELECT * FROM t FOR UPDATE) AS locked",
        "SELECT nextval('s')",
        "SELECT own_function(1)",
        "SELECT * FROM own_table_function(1)",
        "SELECT (SELECT own_function(1))",
        "WITH moved AS (DELETE FROM t RETURNING *) SELECT * FROM moved",
        "WITH added AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM added",
        "SELECT * INTO copied FROM t",
        "SELECT 1; DELETE FROM t",
        "EXPLAIN ANALYZE DELETE FROM t",
        "CREATE TABLE t (x INT)",
        "CALL something()",
        "this is not SQL",
        "BEGIN",
    ];
    for text in writes {
        assert_eq!(access(text), Access::Write, "{text}");
    }
}

#[test]
fn session_features_are_refused() {
    let refused = [
        ("COPY t FROM STDIN", Unsupported::Copy),
        ("COPY (SELECT 1) TO STDOUT", Unsupported::Copy),
        ("LISTEN news", Unsupported::Listen),
        ("CREATE TEMP TABLE t (x INT)", Unsupported::TemporaryTable),
        (
            "CREATE TEMPORARY VIEW v AS SELECT 1",
            Unsupported::TemporaryTable,
        ),
        ("SELECT pg_advisory_lock(1)", Unsupported::AdvisoryLock),
        (
            "SELECT 1 WHERE pg_try_advisory_lock(2)",
            Unsupported::AdvisoryLock,
        ),
        (
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            Unsupported::HoldableCursor,
        ),
        ("PREPARE p AS SELECT 1", Unsupported::SqlPrepare),
        ("EXECUTE p", Unsupported::SqlPrepare),
        (
            "SELECT set_config('a', 'b', false)",
            Unsupported::HiddenSetting,
        ),
        ("SELECT 1; SET a = 1", Unsupported::HiddenSetting),
        (
            "UPDATE t SET x = set_config('a', 'b', false)",
            Unsupported::HiddenSetting,
        ),
    ];
    for (text, feature) in refused {
        assert_eq!(classify(text).unsupported(), Some(feature), "{text}");
    }
    let allowed = ["SELECT pg_advisory_xact_lock(1)", "SET a = 1", "SELECT 1"];
    for text in allowed {
        assert_eq!(classify(text).unsupported(), None, "{text}");
    }
}

#[test]
fn control_statements_are_recognised() {
    let single = |text: &str| classify(text).single().cloned();
    let set = StatementKind::Set {
        name: "linkhold.token".to_owned(),
        value: "abc".to_owned(),
        local: false,
    };
    assert_eq!(single("SET linkhold.token = 'abc'"), Some(set.clone()));
    assert_eq!(single("set LINKHOLD.token to 'abc';"), Some(set));
    assert_eq!(
        single("BEGIN READ ONLY"),
        Some(StatementKind::Begin { read_only: true })
    );
    assert_eq!(
        single("START TRANSACTION"),
        Some(StatementKind::Begin { read_only: false })
    );
    assert_eq!(single("COMMIT"), Some(StatementKind::Commit));
    assert_eq!(single("END"), Some(StatementKind::Commit));
    assert_eq!(single("ROLLBACK"), Some(StatementKind::Rollback));
    assert_eq!(single("ABORT"), Some(StatementKind::Rollback));
    assert_eq!(
        single("RESET ALL"),
        Some(StatementKind::Reset { name: None })
    );
    assert_eq!(single("DISCARD ALL"), Some(StatementKind::DiscardAll));
    assert_eq!(
        single("DEALLOCATE ALL"),
        Some(StatementKind::Deallocate { name: None })
    );
    assert_eq!(
        single("ROLLBACK TO SAVEPOINT s"),
        Some(StatementKind::Write)
    );
    assert!(classify("").statements.is_empty());
    assert!(classify(" -- nothing\n").statements.is_empty());
}

#[test]
fn a_text_that_is_not_understood_may_end_a_transaction() {
    assert!(classify("COMMIT AND SOMETHING NEW").may_commit());
    assert!(classify("COMMIT").may_commit());
    assert!(!classify("SELECT 1").may_commit());
    assert!(!classify("INSERT INTO t VALUES (1)").may_commit());
}
