mod assessment;
mod digest;
mod fleets;
