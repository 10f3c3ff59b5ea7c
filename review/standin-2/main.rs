//! Stand-ins for the scripts of the second review: the platform's store, its failover call,
//! a database group and callers, after the users' pages. Standard library alone.
//!
//! `standin-2 CASE FOLDER` plays one case and writes `record.txt` into the folder.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment the same is played without the disruption.

mod callers;
mod cases;
mod group;
mod json;
mod nodes;
mod record;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::play(case, folder, trouble));
}
