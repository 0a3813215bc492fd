//! Tests of reading over random commands. A failure names the seed.

mod generator;

use laburnumdeal_language::{Command, CommandLine, parse, parse_line};
use laburnumdeal_model::Change;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random commands in one test.
const SEEDS: u64 = 20_000;

/// Earliest start that is read as milliseconds; a shorter number is likely a mistake.
const MIN_EPOCH_MS: u64 = 100_000_000_000;

/// Characters that a damaged command may get.
const DAMAGE: [char; 16] = [
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
    (generator::line(&mut rng), rng)
}

fn damaged(text: &str, rng: &mut ChaCha8Rng) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..=chars.len());
        let c = DAMAGE[rng.random_range(0..DAMAGE.len())];
        match rng.random_range(0..4) {
            0 => chars.truncate(at),
            1 => chars.insert(at, c),
            _ if at == chars.len() => chars.push(c),
            2 => chars[at] = c,
            _ => drop(chars.remove(at)),
        }
    }
    chars.into_iter().collect()
}

#[test]
fn parse_line_generated_reads_back() {
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
fn parse_line_damaged_reads_back_or_points_at_word() {
    let mut refused = 0;
    for seed in 0..SEEDS {
        let (line, mut rng) = generated(seed);
        let text = damaged(&line.to_string(), &mut rng);
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

/// Refusals quote changes in the words of the model; an operator may send such a text again.
#[test]
fn parse_change_of_model_reads_back() {
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
