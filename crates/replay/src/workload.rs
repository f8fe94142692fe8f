//! Arrivals of one availability zone of the users' two deployments.
//!
//! The brief gives the kinds of work, not their numbers; the numbers here are ours and are stated
//! in `docs/measurements.md`. Bursts of small and large jobs come together, declared times are off
//! by up to ten times, and one large job in a hundred can never run.

use fastrand::Rng;
use model::{ClassId, CustomerId, Duration, Gang, Moment, Resources, Within};

/// A job that will arrive.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Moment,
    /// On whose behalf.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// What it needs.
    pub gang: Gang,
    /// As declared.
    pub declared: Duration,
    /// As it will run.
    pub actual: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it can go on from a checkpoint.
    pub checkpointable: bool,
}

/// A kind of work.
struct Kind {
    class: &'static str,
    /// Task counts, drawn evenly.
    tasks: &'static [u32],
    per_task: Resources,
    within: Within,
    median: Duration,
    /// Part of the availability zone's accelerators that it keeps busy on average.
    load: f64,
    /// Jobs of this kind in one burst.
    burst: usize,
    repeatable: bool,
    checkpointable: bool,
}

/// Which deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Transcription in Addis Ababa.
    Tsehay,
    /// Pharmacy orders in northern Taiwan.
    Yonghe,
}

/// Part of all jobs that come in bursts.
const IN_BURSTS: f64 = 0.4;
/// Bursts of small jobs come this often on average; those of large jobs join some of them.
const BURST_EVERY: Duration = Duration::from_secs(1150);
/// A burst comes within this.
const BURST_LENGTH: Duration = Duration::from_secs(20);
/// Standard deviation of run times, as a power of e.
const SPREAD: f64 = 0.6;
/// Largest error of a declaration.
const MAX_ERROR: f64 = 10.0;
/// One large job in so many can never run.
const IMPOSSIBLE: usize = 100;

impl Deployment {
    /// The operators' file that belongs to it.
    pub fn file_name(self) -> &'static str {
        match self {
            Deployment::Tsehay => "tsehay.json",
            Deployment::Yonghe => "yonghe.json",
        }
    }

    /// The classes of large jobs, whose longest wait is measured.
    pub fn large_class(self) -> &'static str {
        match self {
            Deployment::Tsehay => "archive",
            Deployment::Yonghe => "dispensing",
        }
    }

    /// The class of urgent jobs.
    pub fn urgent_class(self) -> &'static str {
        match self {
            Deployment::Tsehay => "labelling",
            Deployment::Yonghe => "refill",
        }
    }

    fn customers(self) -> [&'static str; 4] {
        match self {
            Deployment::Tsehay => ["federal-court", "regional-council", "university-senate", "city-court"],
            Deployment::Yonghe => ["insurance-bureau", "hospital-group", "community-pharmacies", "clinics"],
        }
    }

    fn kinds(self) -> [Kind; 3] {
        let memory = if self == Deployment::Tsehay { 8 } else { 4 };
        let per_task = Resources::new(1, 2, memory);
        let small = Kind {
            class: self.urgent_class(),
            tasks: &[1],
            per_task,
            within: Within::Worker,
            median: Duration::from_secs(60),
            load: 0.05,
            burst: 40,
            repeatable: true,
            checkpointable: false,
        };
        let middle = Kind {
            class: if self == Deployment::Tsehay { "transcription" } else { "claim-check" },
            tasks: &[4, 8, 8],
            per_task,
            within: Within::Rack,
            median: Duration::from_secs(1500),
            load: 0.40,
            burst: 8,
            repeatable: self == Deployment::Tsehay,
            checkpointable: true,
        };
        let large = Kind {
            class: self.large_class(),
            tasks: &[16, 16, 32],
            per_task,
            within: Within::Rack,
            median: Duration::from_secs(5400),
            load: 0.35,
            burst: 4,
            repeatable: self == Deployment::Tsehay,
            checkpointable: true,
        };
        [small, middle, large]
    }

    /// The arrivals of one availability zone with so many accelerators, in the order of time.
    pub fn arrivals(self, accelerators: u32, length: Duration, seed: u64) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        let bursts = burst_times(&mut rng, length);
        for kind in self.kinds() {
            let bias: Vec<f64> = (0..4).map(|_| 10f64.powf(rng.f64() * 1.4 - 0.7)).collect();
            let tasks: f64 = kind.tasks.iter().map(|n| f64::from(*n)).sum::<f64>() / kind.tasks.len() as f64;
            let mean = kind.median.secs_f64() * (SPREAD * SPREAD / 2.0).exp();
            let jobs = kind.load * f64::from(accelerators) * length.secs_f64() / (tasks * mean);
            let in_bursts = (jobs * IN_BURSTS) as usize;
            for n in 0..jobs as usize {
                let at = match n < in_bursts {
                    true => {
                        // Bursts of all kinds come at the same times.
                        let burst = bursts[(n / kind.burst) % bursts.len()];
                        burst + Duration::from_millis(rng.u64(0..BURST_LENGTH.millis()))
                    }
                    false => Moment::from_millis(rng.u64(0..length.millis())),
                };
                arrivals.push(self.job(&mut rng, &kind, &bias, at, n));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn job(self, rng: &mut Rng, kind: &Kind, bias: &[f64], at: Moment, n: usize) -> Arrival {
        // Two of the four customers are large.
        let who = [0, 0, 0, 1, 1, 1, 2, 3][rng.usize(0..8)];
        let actual = kind.median.scaled((SPREAD * normal(rng)).exp());
        let error = (bias[who] * 10f64.powf(0.15 * normal(rng))).clamp(1.0 / MAX_ERROR, MAX_ERROR);
        let mut gang =
            Gang { tasks: kind.tasks[rng.usize(0..kind.tasks.len())], per_task: kind.per_task, within: kind.within };
        if kind.class == self.large_class() && n % IMPOSSIBLE == IMPOSSIBLE - 1 {
            gang.per_task.accelerators = 16;
        }
        Arrival {
            at,
            customer: self.customers()[who].parse().expect("a valid id"),
            class: kind.class.parse().expect("a valid id"),
            gang,
            declared: actual.scaled(error).max(Duration::from_millis(1)),
            actual: actual.max(Duration::from_millis(1)),
            repeatable: kind.repeatable,
            checkpointable: kind.checkpointable,
        }
    }
}

fn burst_times(rng: &mut Rng, length: Duration) -> Vec<Moment> {
    let bursts = (length.secs_f64() / BURST_EVERY.secs_f64()).ceil() as usize;
    (0..bursts).map(|_| Moment::from_millis(rng.u64(0..length.millis()))).collect()
}

/// A standard normal number (Box and Muller 1958).
fn normal(rng: &mut Rng) -> f64 {
    let (a, b) = (rng.f64().max(f64::MIN_POSITIVE), rng.f64());
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}
