//! Detection of a statement's effects in its syntax tree.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, FunctionArguments, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit,
    Visitor,
};

use super::{Unsupported, object_name};

/// Functions known to have no effects and not to depend on session state. A
/// statement that calls any other function goes to the primary.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "ceil",
    "ceiling",
    "char_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "current_date",
    "current_timestamp",
    "date",
    "date_part",
    "date_trunc",
    "dense_rank",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "generate_series",
    "greatest",
    "hex",
    "ifnull",
    "initcap",
    "json_agg",
    "json_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nullif",
    "percentile_cont",
    "position",
    "power",
    "printf",
    "rank",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "total",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "version",
];

/// Effects of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effects {
    None,
    Possible,
    Unsupported(Unsupported),
}

/// Determines the effects of a statement.
pub(super) fn effects_of(statement: &Statement) -> Effects {
    let mut finder = EffectFinder {
        statements: 0,
        effects: Effects::None,
    };
    let _ = statement.visit(&mut finder);
    finder.effects
}

/// Visitor that looks for anything beyond a read.
struct EffectFinder {
    statements: usize,
    effects: Effects,
}

impl EffectFinder {
    fn record(&mut self, effects: Effects) -> ControlFlow<()> {
        self.effects = effects;
        match effects {
            Effects::Unsupported(_) => ControlFlow::Break(()),
            Effects::None | Effects::Possible => ControlFlow::Continue(()),
        }
    }

    fn check_function(&mut self, name: &ObjectName) -> ControlFlow<()> {
        let full_name = object_name(name);
        let base_name = full_name.rsplit('.').next().unwrap_or_default();
        if base_name == "set_config" {
            return self.record(Effects::Unsupported(Unsupported::HiddenSetting));
        }
        let is_session_lock = base_name.contains("advisory") && !base_name.contains("xact");
        if is_session_lock {
            return self.record(Effects::Unsupported(Unsupported::AdvisoryLock));
        }
        if PURE_FUNCTIONS.contains(&base_name) {
            return ControlFlow::Continue(());
        }
        self.record(Effects::Possible)
    }
}

impl Visitor for EffectFinder {
    type Break = ();

    fn pre_visit_statement(&mut self, _statement: &Statement) -> ControlFlow<()> {
        self.statements += 1;
        // A nested statement is a data-modifying common table expression.
        if self.statements > 1 {
            return self.record(Effects::Possible);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() || selects_into(&query.body) {
            return self.record(Effects::Possible);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                if matches!(function.args, FunctionArguments::Subquery(_)) {
                    return self.record(Effects::Possible);
                }
                self.check_function(&function.name)
            }
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | TableFactor::Function { name, .. } => self.check_function(name),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn selects_into(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => has_into(select),
        SetExpr::SetOperation { left, right, .. } => selects_into(left) || selects_into(right),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => false,
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => true,
    }
}

fn has_into(select: &Select) -> bool {
    select.into.is_some()
}
