use std::fmt::Write;

use laburnumdeal_model::BootId;
use laburnumdeal_policy::{BeginReply, Claim, ClaimTable, Outcome, StartedClaim};

use crate::support::{BOOT, FINGERPRINT, HOME, MIRROR, OTHER, answer, claim, key, table};

/// Progress of the first send of a key when the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    New,
    ClaimedOnHome,
    ClaimedOnBoth,
    Sent,
    Answered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    HomeOutOfReach,
    MirrorOutOfReach,
    BothOutOfReach,
    HomeDies,
    MirrorDies,
    HomeRestarts,
    MirrorRestarts,
    BothRestart,
    HomeStops,
    MirrorStops,
}

const STAGES: [Stage; 5] = [
    Stage::New,
    Stage::ClaimedOnHome,
    Stage::ClaimedOnBoth,
    Stage::Sent,
    Stage::Answered,
];

const FAULTS: [Fault; 11] = [
    Fault::None,
    Fault::HomeOutOfReach,
    Fault::MirrorOutOfReach,
    Fault::BothOutOfReach,
    Fault::HomeDies,
    Fault::MirrorDies,
    Fault::HomeRestarts,
    Fault::MirrorRestarts,
    Fault::BothRestart,
    Fault::HomeStops,
    Fault::MirrorStops,
];

/// Home and mirror as a resend finds them, and the interrupted first send.
struct Scenario {
    home: Option<ClaimTable>,
    mirror: Option<ClaimTable>,
    old_mirror: ClaimTable,
    claim: Option<Claim>,
    is_confirmed: bool,
    started: Option<StartedClaim>,
    runs: u32,
}

impl Scenario {
    fn new(stage: Stage) -> Self {
        let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
        let mut scenario = Self {
            home: Some(home.clone()),
            mirror: Some(mirror.clone()),
            old_mirror: mirror.clone(),
            claim: (stage >= Stage::ClaimedOnHome).then(|| claim(&home, &key("a"))),
            is_confirmed: false,
            started: None,
            runs: 0,
        };
        if stage >= Stage::ClaimedOnBoth
            && let Some(claim) = &mut scenario.claim
        {
            let reply = mirror.mirror_claim(&key("a"), FINGERPRINT, HOME, BOOT);
            claim.confirm_mirror(reply).unwrap();
            scenario.is_confirmed = true;
        }
        if stage >= Stage::Sent {
            scenario.send();
        }
        if stage >= Stage::Answered {
            scenario.answer();
        }
        scenario
    }

    fn send(&mut self) {
        if let Some(Ok(started)) = self.claim.take().map(Claim::start) {
            self.started = Some(started);
            self.runs += 1;
        }
    }

    fn answer(&mut self) {
        if let Some(started) = self.started.take() {
            started.finish(answer("opened"));
            self.old_mirror.store_answer(&key("a"), answer("opened"));
        }
    }

    fn apply(&mut self, fault: Fault) {
        let next = BootId(11);
        match fault {
            Fault::None => {}
            Fault::HomeOutOfReach | Fault::HomeDies => self.home = None,
            Fault::MirrorOutOfReach | Fault::MirrorDies => self.mirror = None,
            Fault::BothOutOfReach => (self.home, self.mirror) = (None, None),
            Fault::HomeRestarts => self.home = Some(table(HOME, next)),
            Fault::MirrorRestarts => self.mirror = Some(table(MIRROR, next)),
            Fault::BothRestart => {
                self.home = Some(table(HOME, next));
                self.mirror = Some(table(MIRROR, next));
            }
            Fault::HomeStops => self.home = self.home.take().map(hand_over),
            Fault::MirrorStops => self.mirror = self.mirror.take().map(hand_over),
        }
        let home_lost_claim = matches!(
            fault,
            Fault::HomeDies | Fault::HomeRestarts | Fault::BothRestart
        );
        if home_lost_claim {
            (self.claim, self.started) = (None, None);
        }
    }

    /// Sends the key again to the home, and fences it on the mirror if the home does not know its state.
    fn resend(&mut self) -> Outcome {
        let begun = self
            .home
            .clone()
            .map(|home| home.begin(&key("a"), FINGERPRINT));
        match begun {
            Some(BeginReply::Claimed(claim)) => {
                self.claim = Some(claim);
                self.continue_first_send(true)
            }
            Some(BeginReply::Running(running)) => {
                self.continue_first_send(true);
                running.result().map_or(Outcome::Unknown, |r| r.outcome())
            }
            Some(BeginReply::Finished(_)) => Outcome::Answer,
            Some(BeginReply::Fenced) => Outcome::NotRun,
            _ => self.fence(),
        }
    }

    fn fence(&self) -> Outcome {
        let mirror = self.mirror.as_ref();
        mirror
            .and_then(|m| m.fence(&key("a"), FINGERPRINT).outcome())
            .unwrap_or(Outcome::Unknown)
    }

    /// Lets the home continue the first send, if it still has the claim.
    fn continue_first_send(&mut self, abandons: bool) -> Outcome {
        if let Some(claim) = &mut self.claim
            && !self.is_confirmed
        {
            let mirror = self.mirror.as_ref();
            let reply = mirror.map(|m| m.mirror_claim(&key("a"), FINGERPRINT, HOME, BOOT));
            self.is_confirmed = reply.is_some_and(|r| claim.confirm_mirror(r).is_ok());
        }
        if self.is_confirmed {
            self.send();
        } else if abandons {
            self.claim = None;
        }
        if self.started.is_none() {
            return Outcome::NotRun;
        }
        self.answer();
        Outcome::Answer
    }
}

/// Stops an instance as planned and returns the instance that imported its claims.
fn hand_over(from: ClaimTable) -> ClaimTable {
    let successor = table(OTHER, BOOT);
    for message in from.export() {
        successor.import(message);
    }
    successor
}

/// Returns the outcomes of a resend and of another one after the first send has continued. Checks that the
/// request ran at most once and that the outcomes agree with that.
fn outcomes(stage: Stage, fault: Fault) -> String {
    let mut scenario = Scenario::new(stage);
    let home = scenario.home.clone();
    scenario.apply(fault);
    let first = scenario.resend();
    scenario.continue_first_send(false);
    if fault == Fault::HomeOutOfReach || fault == Fault::BothOutOfReach {
        scenario.home = home;
    }
    let second = scenario.resend();
    assert!(scenario.runs <= 1, "{stage:?} {fault:?}");
    if first == Outcome::NotRun || second == Outcome::NotRun {
        assert_eq!(scenario.runs, 0, "{stage:?} {fault:?}");
    }
    if first == Outcome::Answer {
        assert_eq!(second, Outcome::Answer, "{stage:?} {fault:?}");
    }
    format!("{first}, {second}")
}

#[test]
fn resend_every_stage_and_fault() {
    let mut matrix = String::from("| fault | new |");
    for stage in &STAGES[1..] {
        write!(matrix, " {stage:?} |").unwrap();
    }
    matrix.push_str("\n|---|---|---|---|---|---|\n");
    for fault in FAULTS {
        write!(matrix, "| {fault:?} |").unwrap();
        for stage in STAGES {
            write!(matrix, " {} |", outcomes(stage, fault)).unwrap();
        }
        matrix.push('\n');
    }
    insta::assert_snapshot!(matrix);
}
