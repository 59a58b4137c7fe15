mod assessment;
mod digest;
mod fleets;
mod other_causes;
mod progress;
