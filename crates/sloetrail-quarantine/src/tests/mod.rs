mod assessment;
mod digest;
mod fleets;
mod progress;
