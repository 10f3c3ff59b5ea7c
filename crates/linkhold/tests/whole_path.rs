//! Guards against stale reads when a caller writes through one node and reads through
//! another. Runs real processes: a stand-in group and platform, and two nodes.

mod common;

use common::{NodeProcess, StandIn, connect, rows};

#[tokio::test]
async fn a_write_through_one_node_is_read_through_the_other() {
    let standin = StandIn::start(&["--lag-ms", "40"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let first = NodeProcess::start(&standin, "node-1", "");
    let second = NodeProcess::start(&standin, "node-2", "");
    let publisher = connect(&first.address, &standin.database).await;
    let listener = connect(&second.address, &standin.database).await;
    for number in 0..20 {
        let publish = format!("INSERT INTO episodes VALUES ('{number}', 'episode {number}')");
        publisher
            .simple_query(&publish)
            .await
            .expect("is published");
        let query = format!("SELECT title FROM episodes WHERE id = '{number}'");
        let found = rows(&listener, &query).await.expect("is read");
        assert_eq!(found, [[format!("episode {number}")]]);
    }
}
