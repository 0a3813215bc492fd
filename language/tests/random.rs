//! Tests of the parser on random commands. A failure names the seed.

mod generator;

use laburnumdeal_language::{Command, CommandLine, parse, parse_line};
use laburnumdeal_model::Change;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of random commands in one test, one per seed.
const SEEDS: u64 = 20_000;

/// Earliest start that is accepted as milliseconds since the Unix epoch: the grammar requires at
/// least 12 digits, since a shorter number is likely a mistake.
const MIN_EPOCH_MS: u64 = 100_000_000_000;

/// Characters that a mutation may add to a command.
const MUTATION_CHARS: [char; 16] = [
    ' ',
    '\t',
    '\n',
    ',',
    '=',
    '!',
    '"',
    '\\',
    '%',
    '/',
    '0',
    '9',
    'Z',
    'é',
    '\0',
    '\u{10ffff}',
];

fn generated(seed: u64) -> (CommandLine, ChaCha8Rng) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (generator::command_line(&mut rng), rng)
}

fn mutated(text: &str, rng: &mut ChaCha8Rng) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..rng.random_range(1..6) {
        let index = rng.random_range(0..=chars.len());
        let c = MUTATION_CHARS[rng.random_range(0..MUTATION_CHARS.len())];
        match rng.random_range(0..4) {
            0 => chars.truncate(index),
            1 => chars.insert(index, c),
            _ if index == chars.len() => chars.push(c),
            2 => chars[index] = c,
            _ => drop(chars.remove(index)),
        }
    }
    chars.into_iter().collect()
}

#[test]
fn parse_line_generated_round_trips() {
    for seed in 0..SEEDS {
        let (line, _) = generated(seed);
        let text = line.to_string();
        assert!(!text.contains(['\n', '\r']), "seed {seed}: {text}");
        assert_eq!(
            parse_line(&text, 0),
            Ok(line.clone()),
            "seed {seed}: {text}"
        );
        let command = parse(&line.command.to_string(), 0);
        assert_eq!(command, Ok(line.command), "seed {seed}: {text}");
    }
}

#[test]
fn parse_line_mutated_round_trips_or_points_at_word() {
    let mut refused = 0;
    for seed in 0..SEEDS {
        let (line, mut rng) = generated(seed);
        let text = mutated(&line.to_string(), &mut rng);
        match parse_line(&text, 0) {
            Ok(line) => assert_eq!(parse_line(&line.to_string(), 0), Ok(line), "seed {seed}"),
            Err(error) => {
                refused += 1;
                assert!(text[error.offset..].starts_with(&error.word), "seed {seed}");
                assert!(!error.to_string().is_empty(), "seed {seed}");
            }
        }
    }
    assert!(refused > SEEDS / 10, "only {refused} were refused");
}

/// Refusals quote a change in its `Display` form, and an operator may send that text as a command.
#[test]
fn parse_model_text_round_trips() {
    for seed in 0..SEEDS {
        let Command::Change(change) = generated(seed).0.command else {
            continue;
        };
        let text = change.to_string();
        match change {
            Change::Drain { at_ms, .. } if at_ms < MIN_EPOCH_MS => {
                assert!(parse(&text, 0).is_err(), "seed {seed}: {text}");
            }
            change => {
                let command = Command::Change(change);
                assert_eq!(parse(&text, 0), Ok(command), "seed {seed}: {text}");
            }
        }
    }
}
