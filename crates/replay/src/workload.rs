//! Arrivals in one availability zone of the platform's two deployments.
//!
//! The platform's brief names the kinds of work but not their numbers, which are set here and listed in
//! `docs/measurements.md`. Bursts of small and large jobs coincide, declared run times are wrong by a factor of up to
//! ten, and one large job in a hundred can never run.

use fastrand::Rng;
use model::{ClassId, CustomerId, Duration, Gang, Moment, Resources, Within};

/// A job of a workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of its arrival.
    pub at: Moment,
    /// Customer that the job belongs to.
    pub customer: CustomerId,
    /// Class of the job.
    pub class: ClassId,
    /// Tasks and their resources.
    pub gang: Gang,
    /// Declared run time.
    pub declared: Duration,
    /// Actual run time without failures or preemption.
    pub actual: Duration,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether the job can resume from a checkpoint.
    pub checkpointable: bool,
}

/// A kind of work.
struct Kind {
    class: &'static str,
    /// Task counts, drawn with equal probability.
    tasks: &'static [u32],
    per_task: Resources,
    within: Within,
    /// Median of the actual run times.
    median: Duration,
    /// Mean share of the availability zone's accelerators that this kind of work uses, from 0 to 1.
    load: f64,
    /// Number of jobs of this kind in one burst.
    burst: usize,
    repeatable: bool,
    checkpointable: bool,
}

/// A deployment of the platform, with its own classes, customers and kinds of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Transcription in Addis Ababa.
    Tsehay,
    /// Pharmacy orders in northern Taiwan.
    Yonghe,
}

/// Share of the jobs of each kind that arrive in bursts.
const BURST_SHARE: f64 = 0.4;
/// Mean time between bursts of small jobs. Bursts of large jobs coincide with some of them.
const MEAN_BURST_INTERVAL: Duration = Duration::from_secs(1150);
/// Time within which the jobs of a burst arrive.
const BURST_LENGTH: Duration = Duration::from_secs(20);
/// Standard deviation of the natural logarithm of run times, which are log-normal.
const LOG_RUN_TIME_DEVIATION: f64 = 0.6;
/// Largest factor between the declared and the actual run time.
const MAX_DECLARED_ERROR: f64 = 10.0;
/// Number of large jobs of which one can never run.
const IMPOSSIBLE_EVERY: usize = 100;

impl Deployment {
    /// Returns the file name of the deployment's operators' file in `examples`.
    pub fn file_name(self) -> &'static str {
        match self {
            Deployment::Tsehay => "tsehay.json",
            Deployment::Yonghe => "yonghe.json",
        }
    }

    /// Returns the class of large jobs, whose longest wait is measured.
    pub fn large_class(self) -> &'static str {
        match self {
            Deployment::Tsehay => "archive",
            Deployment::Yonghe => "dispensing",
        }
    }

    /// Returns the class of urgent jobs.
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

    /// Returns the arrivals within `length` in an availability zone with `accelerators` accelerators, in the order of
    /// time. The same seed gives the same arrivals.
    pub fn arrivals(self, accelerators: u32, length: Duration, seed: u64) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        let bursts = burst_times(&mut rng, length);
        for kind in self.kinds() {
            let bias: Vec<f64> = (0..4).map(|_| 10f64.powf(rng.f64() * 1.4 - 0.7)).collect();
            let tasks: f64 = kind.tasks.iter().map(|n| f64::from(*n)).sum::<f64>() / kind.tasks.len() as f64;
            let mean = kind.median.secs_f64() * (LOG_RUN_TIME_DEVIATION * LOG_RUN_TIME_DEVIATION / 2.0).exp();
            let jobs = kind.load * f64::from(accelerators) * length.secs_f64() / (tasks * mean);
            let in_bursts = (jobs * BURST_SHARE) as usize;
            for n in 0..jobs as usize {
                let at = match n < in_bursts {
                    true => {
                        // Bursts of all kinds share their times.
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
        // The first two customers submit three jobs in eight each, the others one in eight each.
        let customer = [0, 0, 0, 1, 1, 1, 2, 3][rng.usize(0..8)];
        let actual = kind.median.scaled((LOG_RUN_TIME_DEVIATION * standard_normal(rng)).exp());
        let error = (bias[customer] * 10f64.powf(0.15 * standard_normal(rng)))
            .clamp(1.0 / MAX_DECLARED_ERROR, MAX_DECLARED_ERROR);
        let mut gang =
            Gang { tasks: kind.tasks[rng.usize(0..kind.tasks.len())], per_task: kind.per_task, within: kind.within };
        if kind.class == self.large_class() && n % IMPOSSIBLE_EVERY == IMPOSSIBLE_EVERY - 1 {
            gang.per_task.accelerators = 16;
        }
        Arrival {
            at,
            customer: self.customers()[customer].parse().expect("a valid id"),
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
    let bursts = (length.secs_f64() / MEAN_BURST_INTERVAL.secs_f64()).ceil() as usize;
    (0..bursts).map(|_| Moment::from_millis(rng.u64(0..length.millis()))).collect()
}

/// Draws from the standard normal distribution (Box and Muller 1958).
fn standard_normal(rng: &mut Rng) -> f64 {
    let (a, b) = (rng.f64().max(f64::MIN_POSITIVE), rng.f64());
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}
