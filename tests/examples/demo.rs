//! Runs three instances in two availability zones as separate processes, with fake upstreams, and
//! follows a request, a drain and a planned stop from one end to the other.

use std::process::{Command, ExitCode};
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use laburnumdeal_model::{InstanceSettings, TopologySettings};
use laburnumdeal_tests::{
    Caller, CallerRequest, CallerResponse, FakeUpstream, Loopback, OPERATOR_TOKEN, Plan, Process,
    Signal, binary,
};
use tempfile::TempDir;
use tokio::time::Instant;

/// Longest time that the demo waits for a condition.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("verdict: everything held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("verdict: failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let mut demo = Demo::start().await?;
    demo.read().await?;
    demo.unlock().await?;
    demo.overflow().await?;
    demo.drain().await?;
    demo.planned_stop().await
}

/// Processes, upstreams and settings of the demo.
struct Demo {
    folder: TempDir,
    topology: TopologySettings,
    processes: Vec<Process>,
    upstreams: Vec<FakeUpstream>,
}

impl Demo {
    async fn start() -> Result<Self> {
        let plan = Plan::default();
        let topology = plan.topology(&mut Loopback::new());
        let folder = tempfile::tempdir().wrap_err("temporary folder")?;
        let mut upstreams = Vec::new();
        for settings in &topology.upstreams {
            let upstream = FakeUpstream::bind(&settings.name, settings.address).await?;
            upstream.set(|behavior| behavior.latency = Duration::from_millis(5));
            upstreams.push(upstream);
        }
        let mut processes = Vec::new();
        for instance in &topology.instances {
            let mut settings = plan.settings(&topology, &instance.name);
            if instance.control {
                settings.data_folder = Some(folder.path().join("data"));
            }
            processes.push(Process::spawn(folder.path(), &settings)?);
            println!("started {} in zone {}", instance.name, instance.zone);
        }
        let demo = Self {
            folder,
            topology,
            processes,
            upstreams,
        };
        for instance in &demo.topology.instances {
            wait_ready(instance).await?;
        }
        demo.wait_for_members().await?;
        println!("every instance is ready and knows the others");
        Ok(demo)
    }

    async fn read(&self) -> Result<()> {
        let first = &self.topology.instances[0];
        let found = Caller
            .look_up(first.caller_address, "catalog", "192.0.2.7")
            .await?;
        let names: Vec<&str> = found.instances.iter().map(|i| i.name.as_str()).collect();
        println!(
            "look-up for catalog names {} for {} ms",
            names.join(", "),
            found.ttl_ms
        );
        let request = CallerRequest::get("catalog", "/units?city=cairo")
            .header("x-operation", "read-1")
            .header("laburnum-request-id", "demo-read-1");
        let response = Caller.send(found.instances[0].address, &request).await?;
        expect_answer(&response)?;
        println!(
            "read answered by {}: {}",
            response.header("laburnum-upstream"),
            response.text().trim()
        );
        self.run_laburnumctl(&["explain", "request", "demo-read-1"])
    }

    async fn unlock(&self) -> Result<()> {
        let first = &self.topology.instances[0];
        let found = Caller
            .look_up(first.caller_address, "gatekeeper", "192.0.2.7")
            .await?;
        let request = CallerRequest::post("gatekeeper", "/unlock/7", "")
            .header("laburnum-key", format!("{}.door-7", found.token))
            .header("x-operation", "unlock-7");
        for instance in &self.topology.instances {
            expect_answer(&Caller.send(instance.caller_address, &request).await?)?;
        }
        let runs: u32 = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.runs_by_operation().get("unlock-7").copied())
            .sum();
        ensure!(runs == 1, "the unlock ran {runs} times");
        println!("unlock sent through three instances ran once and was answered three times");
        Ok(())
    }

    /// Fills the upstreams of one zone so that requests go through an instance of the other.
    async fn overflow(&self) -> Result<()> {
        for upstream in self
            .upstreams
            .iter()
            .filter(|u| u.name().starts_with("catalog-nasr"))
        {
            upstream.set(|behavior| behavior.latency = Duration::from_millis(400));
        }
        let first = &self.topology.instances[0];
        let mut tasks = Vec::new();
        for number in 0..24 {
            let address = first.caller_address;
            let request = CallerRequest::get("catalog", &format!("/units/{number}"));
            tasks.push(tokio::spawn(
                async move { Caller.send(address, &request).await },
            ));
        }
        let mut through_other_zone = 0;
        for task in tasks {
            let response = task.await??;
            expect_answer(&response)?;
            through_other_zone +=
                u32::from(response.header("laburnum-upstream").contains("smouha"));
        }
        ensure!(through_other_zone > 0, "no request went to the other zone");
        println!("24 reads at once: {through_other_zone} went through the other zone");
        for upstream in &self.upstreams {
            upstream.set(|behavior| behavior.latency = Duration::from_millis(5));
        }
        Ok(())
    }

    async fn drain(&self) -> Result<()> {
        self.run_laburnumctl(&["drain", "upstream", "catalog-nasr-1"])?;
        let drained = &self.upstreams[0];
        let until = Instant::now() + STEP_TIMEOUT;
        loop {
            let before = drained.runs().len();
            for instance in &self.topology.instances {
                for number in 0..10 {
                    let request = CallerRequest::get("catalog", &format!("/units/{number}"));
                    expect_answer(&Caller.send(instance.caller_address, &request).await?)?;
                }
            }
            if drained.runs().len() == before {
                break;
            }
            ensure!(
                Instant::now() < until,
                "the drained upstream still gets work"
            );
        }
        println!(
            "30 reads through three instances: none reached {}",
            drained.name()
        );
        self.run_laburnumctl(&["show", "drains"])?;
        self.run_laburnumctl(&["history"])
    }

    async fn planned_stop(&mut self) -> Result<()> {
        for upstream in &self.upstreams {
            upstream.set(|behavior| behavior.latency = Duration::from_millis(800));
        }
        let address = self.topology.instances[1].caller_address;
        let request = CallerRequest::get("catalog", "/slow");
        let in_flight = tokio::spawn(async move { Caller.send(address, &request).await });
        tokio::time::sleep(Duration::from_millis(200)).await;
        self.processes[1].signal(Signal::Terminate)?;
        let response = in_flight.await??;
        expect_answer(&response)?;
        let status = self.processes[1].wait(STEP_TIMEOUT).await?;
        ensure!(status.success(), "nasr-2 ended with {status}");
        println!("nasr-2 was told to stop, answered what was in flight and ended: {status}");
        Ok(())
    }

    /// Runs `laburnumctl` at the first instance and prints its output.
    fn run_laburnumctl(&self, words: &[&str]) -> Result<()> {
        let token = self.folder.path().join("token");
        std::fs::write(&token, OPERATOR_TOKEN)?;
        let address = self.topology.instances[0].operator_address.to_string();
        println!("$ laburnumctl {}", words.join(" "));
        let output = Command::new(binary("laburnumctl")?)
            .args(["--address", &address, "--token-file"])
            .arg(&token)
            .args(words)
            .output()?;
        print!("{}", String::from_utf8_lossy(&output.stdout));
        let errors = String::from_utf8_lossy(&output.stderr);
        ensure!(
            output.status.success(),
            "laburnumctl ended with {}: {errors}",
            output.status
        );
        Ok(())
    }

    async fn wait_for_members(&self) -> Result<()> {
        let address = self.topology.instances[0].operator_address;
        let operator = laburnumdeal_tests::Operator::new(address);
        let until = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < until {
            if operator
                .rows("show instances")
                .await
                .iter()
                .all(|row| row[3] == "live")
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        eyre::bail!("the instances do not find each other")
    }
}

fn expect_answer(response: &CallerResponse) -> Result<()> {
    ensure!(
        response.outcome() == "answer",
        "got {} {}: {}",
        response.status,
        response.outcome(),
        response.text()
    );
    Ok(())
}

async fn wait_ready(instance: &InstanceSettings) -> Result<()> {
    let until = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < until {
        let response = Caller
            .send(instance.operator_address, &CallerRequest::get("", "/ready"))
            .await;
        if response.is_ok_and(|response| response.status.is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    eyre::bail!("{} does not get ready", instance.name)
}
