//! Effects of a statement, found by a walk over its syntax tree.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, FunctionArguments, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit,
    Visitor,
};

use super::{Unsupported, object_name};

/// Functions known to have no effects and no dependence on session state.
/// Any other function sends its statement to the primary.
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

/// What a walk over a statement found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effects {
    None,
    Some,
    Unsupported(Unsupported),
}

/// Walks over a statement.
pub(super) fn effects_of(statement: &Statement) -> Effects {
    let mut finder = EffectFinder {
        statements: 0,
        effects: Effects::None,
    };
    let _ = statement.visit(&mut finder);
    finder.effects
}

/// Walks a statement looking for anything that is more than a read.
struct EffectFinder {
    statements: usize,
    effects: Effects,
}

impl EffectFinder {
    fn raise(&mut self, effects: Effects) -> ControlFlow<()> {
        self.effects = effects;
        match effects {
            Effects::Unsupported(_) => ControlFlow::Break(()),
            Effects::None | Effects::Some => ControlFlow::Continue(()),
        }
    }

    fn check_function(&mut self, name: &ObjectName) -> ControlFlow<()> {
        let full = object_name(name);
        let bare = full.rsplit('.').next().unwrap_or_default();
        if bare == "set_config" {
            return self.raise(Effects::Unsupported(Unsupported::HiddenSetting));
        }
        let session_lock = bare.contains("advisory") && !bare.contains("xact");
        if session_lock {
            return self.raise(Effects::Unsupported(Unsupported::AdvisoryLock));
        }
        if PURE_FUNCTIONS.contains(&bare) {
            return ControlFlow::Continue(());
        }
        self.raise(Effects::Some)
    }
}

impl Visitor for EffectFinder {
    type Break = ();

    fn pre_visit_statement(&mut self, _statement: &Statement) -> ControlFlow<()> {
        self.statements += 1;
        // A nested statement is a data-modifying common table expression.
        if self.statements > 1 {
            return self.raise(Effects::Some);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() || selects_into(&query.body) {
            return self.raise(Effects::Some);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                if matches!(function.args, FunctionArguments::Subquery(_)) {
                    return self.raise(Effects::Some);
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
