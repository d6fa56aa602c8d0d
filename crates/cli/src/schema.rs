//! Which fields a ticket file may have.
//!
//! The library that reads a file into a typed ticket stops at the first fault. [`inspect`] finds
//! every field that is unknown, missing or of the wrong type, and replaces it by a neutral value,
//! so that the checks of the ticket can go on behind it.

use model::fault::InputFault;
use toml::{Table, Value};

/// Type of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FieldType {
    Text,
    Number,
    TextList,
    Places,
}

/// One field of an object.
struct FieldRule {
    name: &'static str,
    kind: FieldType,
    needed: bool,
}

const fn needed(name: &'static str, kind: FieldType) -> FieldRule {
    FieldRule {
        name,
        kind,
        needed: true,
    }
}

const REGION: &[FieldRule] = &[
    needed("zones", FieldType::TextList),
    needed("cap", FieldType::Number),
];
const LINK: &[FieldRule] = &[needed("mbits", FieldType::Number)];
const HOST: &[FieldRule] = &[
    needed("zone", FieldType::Text),
    needed("callers", FieldType::Text),
    needed("peers", FieldType::Text),
];
const SERVICE: &[FieldRule] = &[
    needed("class", FieldType::Text),
    needed("shift", FieldType::Number),
    needed("places", FieldType::Places),
    FieldRule {
        name: "leaving",
        kind: FieldType::TextList,
        needed: false,
    },
];
const BLOCK: &[FieldRule] = &[needed("zone", FieldType::Text)];
const PLACE: &[FieldRule] = &[needed("cap", FieldType::Number)];

/// Finds the fields that are unknown, missing or of the wrong type, and makes them neutral.
pub fn inspect(ticket: &mut Table) -> Vec<InputFault> {
    let mut faults = Vec::new();
    number(ticket, &mut faults);
    for (name, value) in ticket.iter_mut() {
        let rules = match name.as_str() {
            "number" => continue,
            "region" => REGION,
            "link" => LINK,
            "host" => HOST,
            "service" => SERVICE,
            "block" => BLOCK,
            "remove" => {
                check_type(name, value, FieldType::TextList, &mut faults);
                continue;
            }
            _ => {
                let allowed = "number, region, link, host, service, block or remove";
                faults.push(InputFault::new(name, shown(value), allowed));
                continue;
            }
        };
        objects(name, value, rules, &mut faults);
    }
    ticket.retain(|name, _| {
        matches!(
            name,
            "number" | "region" | "link" | "host" | "service" | "block" | "remove"
        )
    });
    faults
}

fn number(ticket: &mut Table, faults: &mut Vec<InputFault>) {
    let allowed = "a whole number from 1 to 9223372036854775807";
    let fault = match ticket.get("number") {
        Some(Value::Integer(number)) if *number >= 1 => return,
        Some(value) => InputFault::new("number", shown(value), allowed),
        None => InputFault::new("number", "", format!("{allowed}; it is needed")),
    };
    faults.push(fault);
    ticket.insert("number".to_string(), Value::Integer(1));
}

/// Inspects all objects of a kind.
fn objects(field: &str, value: &mut Value, rules: &[FieldRule], faults: &mut Vec<InputFault>) {
    let Value::Table(table) = value else {
        faults.push(InputFault::new(field, shown(value), "tables by name"));
        *value = Value::Table(Table::new());
        return;
    };
    for (name, object) in table.iter_mut() {
        self::object(&format!("{field}.{name}"), object, rules, faults);
    }
}

/// Inspects one object.
fn object(path: &str, value: &mut Value, rules: &[FieldRule], faults: &mut Vec<InputFault>) {
    if !value.is_table() {
        faults.push(InputFault::new(path, shown(value), "a table"));
        *value = Value::Table(neutral_object(rules));
        return;
    }
    let Value::Table(table) = value else {
        return;
    };
    let names: Vec<_> = rules.iter().map(|rule| rule.name).collect();
    for (name, value) in table.iter() {
        if !names.contains(&name.as_str()) {
            let allowed = format!("one of the fields {}", names.join(", "));
            faults.push(InputFault::new(
                format!("{path}.{name}"),
                shown(value),
                allowed,
            ));
        }
    }
    table.retain(|name, _| names.contains(&name));
    for rule in rules {
        let field = format!("{path}.{}", rule.name);
        match table.get_mut(rule.name) {
            Some(value) => check_type(&field, value, rule.kind, faults),
            None if rule.needed => {
                let allowed = format!("{}; it is needed", allowed(rule.kind));
                faults.push(InputFault::new(field, "", allowed));
                table.insert(rule.name.to_string(), neutral(rule.kind));
            }
            None => (),
        }
    }
}

fn check_type(field: &str, value: &mut Value, kind: FieldType, faults: &mut Vec<InputFault>) {
    let fits = match kind {
        FieldType::Text => value.is_str(),
        FieldType::Number => value.is_float() || value.is_integer(),
        FieldType::TextList => value
            .as_array()
            .is_some_and(|items| items.iter().all(Value::is_str)),
        FieldType::Places => {
            objects(field, value, PLACE, faults);
            return;
        }
    };
    if !fits {
        faults.push(InputFault::new(field, shown(value), allowed(kind)));
        *value = neutral(kind);
    }
}

fn allowed(kind: FieldType) -> &'static str {
    match kind {
        FieldType::Text => "a text",
        FieldType::Number => "a number",
        FieldType::TextList => "a list of texts",
        FieldType::Places => "places by availability zone",
    }
}

fn neutral(kind: FieldType) -> Value {
    match kind {
        FieldType::Text => Value::String(String::new()),
        FieldType::Number => Value::Float(0.0),
        FieldType::TextList => Value::Array(Vec::new()),
        FieldType::Places => Value::Table(Table::new()),
    }
}

fn neutral_object(rules: &[FieldRule]) -> Table {
    rules
        .iter()
        .filter(|rule| rule.needed)
        .map(|rule| (rule.name.to_string(), neutral(rule.kind)))
        .collect()
}

/// Writes a value as in the file; texts stand without quotes.
fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
