use laburnumdeal_model::{InstanceId, ZoneId};
use laburnumdeal_policy::{
    KeyError, KeyId, MAX_NONCE_CHARS, Outcome, RequestKey, TokenError, pair_for_tokenless_key,
};

use crate::support::{HOME, key, key_of, sealer, token, tokenless_key};

#[test]
fn open_changed_text() {
    let sealed = sealer().seal(&token(7));
    for at in 0..sealed.len() {
        let mut changed = sealed.clone().into_bytes();
        changed[at] = if changed[at] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(changed).unwrap();
        assert_eq!(sealer().open(&changed), Err(TokenError::Tag), "at {at}");
    }
}

#[test]
fn open_malformed_text() {
    let sealed = sealer().seal(&token(7));
    let upper = sealed.to_uppercase();
    assert_eq!(sealer().open(&upper), Err(TokenError::Character));
    assert_eq!(sealer().open(&"é".repeat(46)), Err(TokenError::Character));
    assert_eq!(sealer().open("ab"), Err(TokenError::Length { chars: 2 }));
    let mut same = token(7);
    same.mirror = Some((HOME, same.home_boot));
    let same = sealer().seal(&same);
    assert_eq!(
        sealer().open(&same),
        Err(TokenError::SamePair { instance: HOME })
    );
}

#[test]
fn open_without_mirror() {
    let mut alone = token(7);
    alone.mirror = None;
    assert_eq!(sealer().open(&sealer().seal(&alone)), Ok(alone));
}

#[test]
fn parse_bad_nonce() {
    let parse = |text: &str| RequestKey::parse(text, &sealer());
    assert_eq!(parse(""), Err(KeyError::Length { chars: 0 }));
    assert_eq!(parse("a b"), Err(KeyError::Character { found: ' ' }));
    let long = "n".repeat(MAX_NONCE_CHARS + 1);
    assert_eq!(parse(&long), Err(KeyError::Length { chars: long.len() }));
    assert!(matches!(parse("order.7"), Err(KeyError::Token(_))));
    let two_dots = format!("{}.a.b", sealer().seal(&token(7)));
    assert_eq!(parse(&two_dots), Err(KeyError::Character { found: '.' }));
}

#[test]
fn id_whole_text() {
    assert_ne!(key("a").id(), key("b").id());
    assert_ne!(key_of(&token(1), "a").id(), key_of(&token(2), "a").id());
    assert_eq!(tokenless_key("a").id(), KeyId::of("a"));
}

#[test]
fn pair_for_tokenless_key_two_zones() {
    let members: Vec<_> = (0..10).map(|i| (InstanceId(i), ZoneId(i / 2))).collect();
    let mut homes = [0; 10];
    for n in 0..1_000 {
        let id = KeyId::of(&n.to_string());
        let (home, mirror) = pair_for_tokenless_key(id, &members);
        let mirror = mirror.unwrap();
        assert_ne!(home.0 / 2, mirror.0 / 2);
        homes[home.index()] += 1;
        let mut reversed = members.clone();
        reversed.reverse();
        assert_eq!(pair_for_tokenless_key(id, &reversed), (home, Some(mirror)));
    }
    assert!(
        homes.iter().all(|count| (50..200).contains(count)),
        "{homes:?}"
    );
}

#[test]
fn pair_for_tokenless_key_one_zone() {
    let members = [(InstanceId(4), ZoneId(0)), (InstanceId(5), ZoneId(0))];
    let (home, mirror) = pair_for_tokenless_key(KeyId::of("a"), &members);
    assert!(mirror.is_some_and(|m| m != home));
    let alone = pair_for_tokenless_key(KeyId::of("a"), &members[..1]);
    assert_eq!(alone, (InstanceId(4), None));
}

#[test]
fn outcome_text() {
    for outcome in [Outcome::Answer, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(outcome.to_string().parse(), Ok(outcome));
    }
    assert!("not run".parse::<Outcome>().is_err());
}
