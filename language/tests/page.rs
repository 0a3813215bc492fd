//! Tests of the examples in `docs/operators/language.md`.

use laburnumdeal_language::{COMMAND_HELP, ShowSubject, parse_line};

const PAGE: &str = include_str!("../../docs/operators/language.md");

fn examples() -> Vec<&'static str> {
    let blocks = PAGE.split("```laburnum\n").skip(1);
    blocks
        .flat_map(|block| block.split("```").next().unwrap_or_default().lines())
        .collect()
}

#[test]
fn parse_line_every_example_is_accepted() {
    for text in examples() {
        let line = parse_line(text, 0).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(parse_line(&line.to_string(), 0), Ok(line), "{text}");
    }
}

#[test]
fn page_every_command_has_an_example() {
    for help in COMMAND_HELP
        .iter()
        .filter(|help| !help.usage.starts_with("CHANGE"))
    {
        let literals = help
            .usage
            .split(|c: char| c.is_uppercase() || "[|".contains(c));
        let start = literals.into_iter().next().unwrap_or_default().trim();
        let found = examples().iter().any(|text| text.starts_with(start));
        assert!(found, "no example of {}", help.usage);
    }
}

#[test]
fn page_every_subject_has_an_example() {
    for subject in ShowSubject::ALL {
        let text = format!("show {subject}");
        assert!(examples().contains(&text.as_str()), "no example of {text}");
    }
}
